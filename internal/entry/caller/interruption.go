package caller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// While the entry does not run, callers leave and submit their jobs again to other
// entries. The notifications of that race with the messages of agents, by which tasks
// have to be placed again. After a long interruption, the entry therefore places no
// task until it has run for settleTime, and none at all for the jobs that were open
// before: the network may not have delivered that their callers left. Their results
// are still received.

const (
	// settleTime is how long after an interruption the entry has learned which
	// connections broke meanwhile.
	settleTime = 100 * time.Millisecond
	// staleShare is the share of the time after which callers submit their jobs again for
	// which a caller may not have been heard from. While a host receives nothing, TCP
	// repeats the end of a connection at intervals that double, the first one 200 ms. After
	// a third of the time, it arrives within another third, and the last is left for that
	// interval and the cancels.
	staleShare = 3
	// maxHoldsInRow limits the holds between which no task could be placed, so that an
	// entry that is short of processor time still places some.
	maxHoldsInRow = 3
)

// interruption is the latest interruption of the entry, or several with less than
// settleTime between them.
type interruption struct {
	since      time.Duration
	settledAt  time.Duration // when the entry has run for settleTime; 0 before the first interruption
	holdUntil  time.Duration // when tasks are placed again
	holdsInRow int           // holds since tasks could last be placed
	openJobs   []*job        // jobs that were open before, and may have been answered since
}

// isStale reports whether the caller of a repeatable job was last heard from before the
// end of an interruption, and so long ago that it may have left and submitted the job
// again before the entry learns of that. Without an interruption, the entry knows of the
// callers that have left.
func (s *State) isStale(j *Job) bool {
	limit, interruptedUntil := s.orphanRunLimit(), s.interruption.settledAt-settleTime
	return j.isRepeatableJob() && j.ReceivedAt > 0 && j.ReceivedAt < interruptedUntil && limit > 0 && s.now-j.ReceivedAt >= limit/staleShare
}

// refuseStale refuses a stale submission. There is no record of it, since the job may be
// open for another submission.
func (s *State) refuseStale(ev Submit) {
	j := s.newJob(ev.Job)
	j.arrivedAt = j.ReceivedAt
	j.answer = Answer{Refused: true, Reason: reason.SubmissionStale, Detail: "the submission lay unread, so that it may have been repeated elsewhere"}
	s.emit(RecordCount{Count: Refusal, Reason: j.answer.Reason, Ref: agent.TaskRef{Team: j.Team, Job: j.ID}, Job: s.traceOf(j)})
	s.reply(ev.Ticket, j.Key, j.answer)
}

// handleInterrupted begins the hold after a long interruption, which is one of staleShare
// of the time after which callers submit their jobs again.
func (s *State) handleInterrupted(ev Interrupted) {
	in := &s.interruption
	if ev.Since >= in.settledAt {
		in.since = ev.Since
	}
	in.settledAt = s.now + settleTime
	limit := s.orphanRunLimit()
	if limit == 0 || s.now-in.since < limit/staleShare {
		return
	}
	in.openJobs = nil
	for _, key := range slices.SortedFunc(maps.Keys(s.jobs), compareKeys) {
		j := s.jobs[key]
		heardAt := cmp.Or(j.ReceivedAt, j.arrivedAt)
		if j.isRepeatableJob() && j.phase != finished && heardAt <= ev.Since && s.now-max(in.since, heardAt) >= limit/staleShare {
			j.interrupted = true
			in.openJobs = append(in.openJobs, j)
		}
	}
	// The time that led to this hold leads to no other.
	in.since = s.now
	if in.holdsInRow < maxHoldsInRow {
		in.holdsInRow++
		in.holdUntil = in.settledAt
	}
}

// holdsTasks reports whether no task may be placed now.
func (s *State) holdsTasks() bool {
	if s.now < s.interruption.holdUntil {
		return true
	}
	s.interruption.holdsInRow = 0
	return false
}

// orphanRunLimit returns the shortest time after which callers submit their jobs
// again, or 0 if no member limits its orphan runs to it.
func (s *State) orphanRunLimit() time.Duration {
	limit := time.Duration(0)
	s.pool.Each(func(m *agent.Member) {
		if m.OrphanRunLimit > 0 && (limit == 0 || m.OrphanRunLimit < limit) {
			limit = m.OrphanRunLimit
		}
	})
	return limit
}

// failInterruptedJobs fails the interrupted jobs that have a task to be placed.
func (s *State) failInterruptedJobs() {
	in := &s.interruption
	in.openJobs = slices.DeleteFunc(in.openJobs, func(j *job) bool {
		if j.phase != finished && len(j.waitingTasks) > 0 {
			s.failInterrupted(j)
		}
		return j.phase == finished
	})
}

func (s *State) failInterrupted(j *job) {
	s.failJob(j, reason.EntrySilent, "the entry was suspended or frozen while the job was open")
}

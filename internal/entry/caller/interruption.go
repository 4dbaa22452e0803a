package caller

import (
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

// handleInterrupted begins the hold after a long interruption. Long is half of the
// time after which callers submit their jobs again: the other half is left for the
// cancels of the jobs whose callers are found to have left.
func (s *State) handleInterrupted(ev Interrupted) {
	in := &s.interruption
	if ev.Since >= in.settledAt {
		in.since = ev.Since
	}
	in.settledAt = s.now + settleTime
	limit := s.orphanRunLimit()
	if limit == 0 || s.now-in.since < limit/2 {
		return
	}
	in.openJobs = nil
	for _, key := range slices.SortedFunc(maps.Keys(s.jobs), compareKeys) {
		if j := s.jobs[key]; j.isRepeatableJob() && j.phase != finished && j.arrivedAt <= in.since {
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

package caller

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// admissionMargin is the factor by which the expected time of what waits is
// raised, since later jobs of other teams may pass, and expectations are off.
const admissionMargin = 1.5

// startGrace is how long after its start an entry keeps jobs although it knows
// no agent yet. Agents announce themselves within 200 ms of finding an entry, and
// find it within a second.
const startGrace = 3 * time.Second

// submit takes a job: it joins one that the entry holds, or is admitted, or
// refused.
func (s *State) submit(ev Submit) {
	if held := s.held(&ev.Job); held != nil {
		s.join(held, ev.Ticket, ev.Job.Digest[:])
		return
	}
	j := s.newJob(ev.Job)
	j.tickets = []Ticket{ev.Ticket}
	s.add(j)
	if why, detail := s.admission(&ev.Job); why != reason.Unspecified {
		s.turnAway(j, why, detail)
		return
	}
	if j.Repeatable {
		s.budget(j.Service).earn()
		j.generation = 1
		j.claims = []*wirepb.Claim{{Owner: s.opts.Incarnation, ClaimSeq: j.seq}}
		s.activate(j)
		return
	}
	s.claim(j)
}

func (s *State) newJob(sub Job) *job {
	j := &job{Job: sub, tasks: make([]task, len(sub.Tasks)), timer: noTimer}
	j.seq, j.token = s.nextSeq()
	j.arrived = s.now
	for i, t := range sub.Tasks {
		j.tasks[i].Task = t
	}
	return j
}

func (s *State) add(j *job) {
	s.jobs[j.Key] = j
	if j.Name != "" {
		s.named[Key{Team: j.Team, ID: j.Name}] = j
	}
	s.open++
	s.deadlines.add(j)
}

// join adds a caller to a job that the entry holds.
func (s *State) join(j *job, t Ticket, digest []byte) {
	switch {
	case digest != nil && !bytes.Equal(digest, j.Digest[:]):
		s.reply(t, j.Key, mismatch())
	case j.phase == finished:
		s.reply(t, j.Key, j.answer)
	default:
		j.tickets = append(j.tickets, t)
	}
}

func mismatch() Answer {
	return Answer{
		Refused: true,
		Reason:  reason.DigestMismatch,
		Detail:  "the id belongs to a job with another content; this content did not run",
	}
}

// admission says why a job is to be turned away, or Unspecified.
func (s *State) admission(j *Job) (why reason.Reason, detail string) {
	served, runnable := s.runnable(j)
	switch {
	case s.stopping:
		return reason.Stopping, "the entry is stopping"
	case j.Deadline <= s.now:
		return reason.DeadlinePassed, "the deadline has passed"
	case j.Due > 0 && s.now < startGrace && (!served || !s.viewFresh()):
		// The job waits for the first agents.
		return reason.Unspecified, ""
	case !served:
		return reason.NoEndpoint, fmt.Sprintf("no endpoint of service %s is known", j.Service)
	case !runnable:
		return reason.NeverRunnable, "a task fits no endpoint of the service"
	case s.open > s.opts.MaxOpenJobs:
		return reason.Overloaded, "too many jobs are open"
	case s.queued+len(j.Tasks) > s.opts.MaxQueuedTasks:
		return reason.Overloaded, "too many tasks wait for a place"
	case s.overQuota(j):
		return reason.TeamQuota, "the team has too many tasks waiting"
	case s.expectedEnd(j) > j.Deadline:
		return reason.Overloaded, "the job would not end before its deadline"
	case !s.viewFresh():
		return reason.ViewUnconfirmed, "the entry can't confirm its configuration"
	case !j.Repeatable && !s.tableUp:
		return reason.TableUnavailable, "the table service does not answer"
	}
	return reason.Unspecified, ""
}

// expectedEnd returns when the job would end if it were admitted: after what
// waits already, and not before its longest task. Callers are spread unevenly, so
// that an entry counts on the slots that others leave unused, and at least on an
// equal part of all.
func (s *State) expectedEnd(j *Job) time.Duration {
	work, longest := time.Duration(0), time.Duration(0)
	for _, t := range j.Tasks {
		each := s.pool.Expected(j.needOf(&t))
		work += each
		longest = max(longest, each)
	}
	if q := s.queues[j.Service]; q != nil {
		work += q.work
	}
	total, unused := s.pool.Capacity(j.Service)
	slots := max(unused, total/float64(s.entries))
	if slots <= 0 {
		return s.now
	}
	return s.now + max(longest, time.Duration(admissionMargin*float64(work)/slots))
}

func (s *State) runnable(j *Job) (served, runnable bool) {
	for _, t := range j.Tasks {
		served, runnable = s.pool.Runnable(j.needOf(&t))
		if !runnable {
			return served, false
		}
	}
	return served, runnable
}

// turnAway refuses a job before anything was done for it. Unless the caller
// stated that the id is new, an earlier submission through another entry may
// have run, so that the claim is looked up before the refusal says "not run".
func (s *State) turnAway(j *job, why reason.Reason, detail string) {
	refusal := Answer{Refused: true, Reason: why, Detail: detail}
	if j.Repeatable || j.First {
		s.drop(j, refusal)
		return
	}
	refusal.MayHaveRun = true
	if !s.tableUp {
		s.drop(j, refusal)
		return
	}
	j.phase = proving
	j.refusal = refusal
	s.do(ReadClaim{Key: j.Key})
}

// claim writes the job's first claim.
func (s *State) claim(j *job) {
	j.phase = claiming
	j.generation = 1
	j.roster = s.rosterSafe
	j.claims = []*wirepb.Claim{{Owner: s.opts.Incarnation, ClaimSeq: j.seq}}
	s.do(WriteClaim{Key: j.Key, Row: j.row(), Deadline: j.Deadline})
}

// activate lets the tasks that have no outcome be placed.
func (s *State) activate(j *job) {
	j.phase = active
	j.countSteps()
	for i := range j.tasks {
		if j.tasks[i].state == waiting && j.stepOpen(j.tasks[i].Step) {
			j.tasks[i].expected = s.pool.Expected(j.need(i))
			j.waiting = append(j.waiting, i)
		}
	}
	slices.SortStableFunc(j.waiting, func(a, b int) int {
		return int(j.tasks[b].expected - j.tasks[a].expected)
	})
	s.queued += len(j.waiting)
	if j.done == len(j.tasks) {
		s.complete(j)
		return
	}
	if len(j.waiting) > 0 {
		s.enqueue(j)
	}
}

// wait joins a caller of another entry.
func (s *State) wait(ev Wait) {
	j := s.jobs[ev.Key]
	if j == nil || j.phase == proving {
		s.do(Unknown{Ticket: ev.Ticket})
		return
	}
	s.join(j, ev.Ticket, ev.Digest)
	if ev.Cancel && j.phase != finished {
		s.cancel(j)
	}
}

func (s *State) peek(ev Peek) {
	j := s.jobs[ev.Key]
	if j == nil {
		s.do(Unknown{Ticket: ev.Ticket})
		return
	}
	s.do(Peeked{
		Ticket: ev.Ticket,
		Progress: &wirepb.JobProgress{
			Phase:   j.phase.String(),
			Tasks:   uint32(len(j.tasks)),
			Done:    uint32(j.done),
			Running: uint32(j.open),
		},
		Finished: j.phase == finished,
		Answer:   j.answer,
	})
}

func (s *State) leave(ev Leave) {
	j := s.jobs[ev.Key]
	if j == nil {
		return
	}
	j.tickets = slices.DeleteFunc(j.tickets, func(t Ticket) bool { return t == ev.Ticket })
	if j.Repeatable && len(j.tickets) == 0 && j.phase != finished {
		s.fail(j, reason.Cancelled, "the caller has gone")
	}
}

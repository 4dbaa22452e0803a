package entry

import (
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// start takes a start message: it is queued, refused, or answered from the
// ledger when the same start was taken before.
func (s *State) start(now time.Duration, l *link, agent string, m *wirepb.Start) {
	ref := refOf(m.Job, m.Task)
	if agent != s.opts.Incarnation {
		s.refuse(l, ref, m, reason.StaleIncarnation)
		return
	}
	j := s.ledger.use(now, m.Job)
	if m.Job.Generation < j.generation {
		s.refuse(l, ref, m, reason.StaleGeneration)
		return
	}
	j.generation = m.Job.Generation
	j.addWatcher(l.entry)
	if r := j.tasks[m.Task]; r != nil && r.covers(m) {
		s.tell(l, r)
		return
	}
	if j.forgotten {
		s.refuse(l, ref, m, reason.LedgerForgotten)
		return
	}
	s.admit(now, l, j, m)
}

// covers reports whether a start message asks for nothing new: the task was
// started or queued before, or this very placement was refused.
func (r *record) covers(m *wirepb.Start) bool {
	if r.repeatable && r.over() && m.Attempt > r.attempt {
		return false
	}
	if r.state != refused {
		return true
	}
	return r.generation == m.Job.Generation && m.Attempt <= r.attempt
}

// over reports whether the task has ended.
func (r *record) over() bool { return r.state == done || r.state == failed }

// admit queues a new start or leaves a tombstone.
func (s *State) admit(now time.Duration, l *link, j *jobRecord, m *wirepb.Start) {
	r := &record{
		ref:        refOf(m.Job, m.Task),
		job:        j,
		generation: m.Job.Generation,
		attempt:    m.Attempt,
		sender:     l.entry,
		queued:     now,
	}
	j.tasks[m.Task] = r
	if !s.open() {
		s.bury(r, s.closedReason())
		s.tell(l, r)
		return
	}
	if m.Repeatable && !s.vouchedFor(now, l.entry) {
		s.bury(r, reason.EntrySilent)
		s.tell(l, r)
		return
	}
	if s.roomFor(l) <= 0 {
		s.starve(l)
		s.bury(r, reason.AgentBusy)
		s.tell(l, r)
		return
	}
	l.take(now)
	r.take(m)
	s.sized(r.need)
	s.queue = append(s.queue, r)
	s.opened(r)
	s.pump(now)
}

// take keeps what a start says of its task.
func (r *record) take(m *wirepb.Start) {
	r.kind = m.Kind
	r.payload = m.Payload
	r.name = m.Name
	r.step = m.Step
	r.index = m.Index
	r.need = resources.Of(m.Need)
	r.stalls = m.Stalls
	r.repeatable = m.Repeatable
}

// cancel stops a task that has not ended. A placement that the agent has not
// seen yet is refused in advance.
func (s *State) cancel(now time.Duration, l *link, m *wirepb.Cancel) {
	j := s.ledger.use(now, m.Job)
	j.addWatcher(l.entry)
	r := j.tasks[m.Task]
	if r == nil {
		r = &record{
			ref:        refOf(m.Job, m.Task),
			job:        j,
			generation: m.Job.Generation,
			attempt:    m.Attempt,
			sender:     l.entry,
		}
		j.tasks[m.Task] = r
		s.bury(r, reason.Cancelled)
	}
	switch {
	case r.state == queued:
		s.unqueue(r)
		s.refuseQueued(r, reason.Cancelled)
		return
	case r.state == running && !r.aborted:
		s.abort(r)
	case r.state == refused && r.generation == m.Job.Generation:
		r.attempt = max(r.attempt, m.Attempt)
	}
	s.tell(l, r)
}

func (s *State) abort(r *record) {
	r.aborted = true
	s.out = append(s.out, Abort{Ref: r.ref})
}

// fence refuses the starts of older generations from now on, and reports what
// was started.
func (s *State) fence(now time.Duration, l *link, m *wirepb.Fence) {
	report := &wirepb.FenceReport{
		Team:       m.Job.Team,
		JobId:      m.Job.JobId,
		Generation: m.Job.Generation,
	}
	j := s.ledger.use(now, m.Job)
	for _, c := range m.Earlier {
		s.ledger.learn(j, c)
	}
	report.Forgotten = j.forgotten
	if m.Job.Generation < j.generation {
		report.Superseded = true
	} else {
		j.generation = m.Job.Generation
		j.addWatcher(l.entry)
	}
	s.dropOlder(j)
	report.Tasks = j.started()
	msg := s.message(l)
	msg.Reports = append(msg.Reports, report)
}

// dropOlder refuses the queued tasks of a job's older generations.
func (s *State) dropOlder(j *jobRecord) {
	for _, r := range j.tasks {
		if r.state == queued && r.generation < j.generation {
			s.unqueue(r)
			s.refuseQueued(r, reason.StaleGeneration)
		}
	}
}

// started describes every task of the job that the endpoint may have seen.
func (j *jobRecord) started() []*wirepb.Update {
	var all []*wirepb.Update
	for _, r := range j.tasks {
		if r.state != refused && r.state != queued {
			all = append(all, r.update())
		}
	}
	return all
}

// end records the outcome of a task and tells every entry that watches it.
func (s *State) end(now time.Duration, ev TaskEnded) {
	j := s.ledger.jobs[jobKey{team: ev.Ref.Team, id: ev.Ref.Job}]
	if j == nil || j.tasks[ev.Ref.Task] == nil || j.tasks[ev.Ref.Task].state != running {
		return
	}
	r := j.tasks[ev.Ref.Task]
	s.leftRunning(r)
	s.closed(r)
	j.used = now
	r.took = ev.Took
	r.reason = ev.Reason
	r.detail = ev.Detail
	switch {
	case ev.NotRun:
		r.state = refused
		s.out = append(s.out, Refused{Ref: r.ref, Reason: ev.Reason})
	case ev.Reason != reason.Unspecified:
		r.state = failed
	default:
		r.state = done
		s.ledger.setResult(r, ev.Result)
	}
	s.tellWatchers(r)
}

// refuse answers a start that leaves no trace in the ledger, because it will
// be refused for the same reason whenever it comes again.
func (s *State) refuse(l *link, ref Ref, m *wirepb.Start, why reason.Reason) {
	s.out = append(s.out, Refused{Ref: ref, Reason: why})
	msg := s.message(l)
	msg.Updates = append(msg.Updates, &wirepb.Update{
		Team:       ref.Team,
		JobId:      ref.Job,
		Generation: m.Job.Generation,
		Task:       ref.Task,
		Attempt:    m.Attempt,
		State:      wirepb.TaskState_TASK_STATE_REFUSED,
		Reason:     uint32(why),
	})
}

// bury turns a record into a tombstone.
func (s *State) bury(r *record, why reason.Reason) {
	r.state = refused
	r.reason = why
	r.payload = nil
	s.out = append(s.out, Refused{Ref: r.ref, Reason: why})
}

// refuseQueued refuses a task that has left the queue.
func (s *State) refuseQueued(r *record, why reason.Reason) {
	s.closed(r)
	s.bury(r, why)
	s.tellWatchers(r)
}

func (s *State) refuseQueue(why reason.Reason) {
	queue := s.queue
	s.queue = nil
	for _, r := range queue {
		s.refuseQueued(r, why)
	}
}

func (s *State) unqueue(r *record) {
	for i, other := range s.queue {
		if other == r {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

func (s *State) opened(r *record) {
	r.job.open++
	if l := s.byEntry[r.sender]; l != nil {
		l.open++
	}
}

func (s *State) closed(r *record) {
	r.job.open--
	if l := s.byEntry[r.sender]; l != nil && l.open > 0 {
		l.open--
	}
}

func (s *State) tell(l *link, r *record) {
	msg := s.message(l)
	msg.Updates = append(msg.Updates, r.update())
}

func (s *State) tellWatchers(r *record) {
	for _, w := range r.job.watchers {
		if l := s.byEntry[w]; l != nil {
			s.tell(l, r)
		}
	}
}

func refOf(j *wirepb.JobRef, task uint32) Ref {
	return Ref{Team: j.Team, Job: j.JobId, Task: task}
}

package entry

import (
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// handleStart queues or refuses a start. A start that was handled before is
// answered from the ledger.
func (s *State) handleStart(now time.Duration, l *link, agent string, m *wirepb.Start) {
	ref := taskRefOf(m.Job, m.Task)
	if agent != s.opts.Incarnation {
		s.refuseWithoutRecord(l, ref, m, reason.StaleIncarnation)
		return
	}
	j := s.ledger.getOrAddJob(now, m.Job)
	if m.Job.Generation < j.generation {
		s.refuseWithoutRecord(l, ref, m, reason.StaleGeneration)
		return
	}
	j.generation = m.Job.Generation
	j.addWatcher(l.entry)
	if r := j.tasks[m.Task]; r != nil && r.hasHandled(m) {
		s.sendUpdate(l, r)
		return
	}
	if j.mayLackHistory {
		s.refuseWithoutRecord(l, ref, m, reason.LedgerForgotten)
		return
	}
	s.admit(now, l, j, m)
}

// hasHandled reports whether a start was handled before: the task was queued or
// started, or this attempt or a later one of the same generation was refused. A
// later attempt of a repeatable task that has ended is new.
func (r *taskRecord) hasHandled(m *wirepb.Start) bool {
	if r.repeatable && r.hasEnded() && m.Attempt > r.attempt {
		return false
	}
	if r.state != stateRefused {
		return true
	}
	return r.generation == m.Job.Generation && m.Attempt <= r.attempt
}

// hasEnded reports whether the task ran and has ended.
func (r *taskRecord) hasEnded() bool { return r.state == stateDone || r.state == stateFailed }

// admit queues a new start or refuses it with a tombstone.
func (s *State) admit(now time.Duration, l *link, j *jobRecord, m *wirepb.Start) {
	r := &taskRecord{
		ref:        taskRefOf(m.Job, m.Task),
		job:        j,
		generation: m.Job.Generation,
		attempt:    m.Attempt,
		sender:     l.entry,
		queuedAt:   now,
	}
	j.tasks[m.Task] = r
	if !s.acceptsStarts() {
		s.markRefused(r, s.closedReason())
		s.sendUpdate(l, r)
		return
	}
	if !s.isForPresentEndpoint(l, m) {
		if m.Endpoint == 0 {
			s.actions = append(s.actions, EndLink{Link: l.id})
		}
		s.markRefused(r, reason.EndpointReplaced)
		s.sendUpdate(l, r)
		return
	}
	if m.Repeatable && !s.entryActive(now, l.entry) {
		s.markRefused(r, reason.EntrySilent)
		s.sendUpdate(l, r)
		return
	}
	if s.roomFor(l) <= 0 {
		s.queueForOffer(now, l, urgencyOf(now, m))
		s.markRefused(r, reason.AgentBusy)
		s.sendUpdate(l, r)
		return
	}
	l.useRoom(now)
	r.copyStart(m)
	r.urgency = urgencyOf(now, m)
	s.updateAvgTaskCPU(r.needs)
	s.queue = append(s.queue, r)
	s.addOpenTask(r)
	s.startQueued(now)
}

// isForPresentEndpoint reports whether a start was decided on by the description of the
// present endpoint. An entry that does not number endpoints learns of another one from
// the first message of a link.
func (s *State) isForPresentEndpoint(l *link, m *wirepb.Start) bool {
	if m.Endpoint == 0 {
		return l.openedAt >= s.readySince
	}
	return m.Endpoint == s.endpoint.Number
}

// copyStart copies the description of the task from its start message.
func (r *taskRecord) copyStart(m *wirepb.Start) {
	r.kind = m.Kind
	r.payload = m.Payload
	r.callerJobID = m.Name
	r.step = m.Step
	r.index = m.Index
	r.needs = resources.FromWire(m.Need)
	r.stalls = m.Stalls
	r.repeatable = m.Repeatable
	r.declared = time.Duration(m.DeclaredMs) * time.Millisecond
}

// handleCancel stops a task that has not ended. If no start of the task has
// arrived yet, a tombstone refuses it in advance. A cancel of an earlier placement
// than the one that the agent has does nothing.
func (s *State) handleCancel(now time.Duration, l *link, m *wirepb.Cancel) {
	j := s.ledger.getOrAddJob(now, m.Job)
	j.addWatcher(l.entry)
	r := j.tasks[m.Task]
	if r == nil {
		r = &taskRecord{
			ref:        taskRefOf(m.Job, m.Task),
			job:        j,
			generation: m.Job.Generation,
			attempt:    m.Attempt,
			sender:     l.entry,
		}
		j.tasks[m.Task] = r
		s.markRefused(r, reason.Cancelled)
	}
	switch {
	case r.supersedes(m):
	case r.state == stateQueued:
		s.removeFromQueue(r)
		s.refuseQueued(r, reason.Cancelled)
		return
	case r.state == stateRunning && !r.cancelled:
		s.cancelTask(r, reason.Cancelled)
	case r.state == stateRefused && r.generation == m.Job.Generation:
		r.attempt = max(r.attempt, m.Attempt)
	}
	s.sendUpdate(l, r)
}

// supersedes reports whether the task was placed again after the placement that
// a cancel refers to.
func (r *taskRecord) supersedes(m *wirepb.Cancel) bool {
	return m.Job.Generation < r.generation || m.Job.Generation == r.generation && m.Attempt < r.attempt
}

// cancelTask stops a running task. Until it has ended, its updates contain the reason.
func (s *State) cancelTask(r *taskRecord, why reason.Reason) {
	r.cancelled = true
	r.reason = why
	s.actions = append(s.actions, CancelTask{Ref: r.ref})
}

// handleFence refuses the queued tasks and all later starts of older
// generations, and reports which tasks of the job were started.
func (s *State) handleFence(now time.Duration, l *link, m *wirepb.Fence) {
	report := &wirepb.FenceReport{
		Team:       m.Job.Team,
		JobId:      m.Job.JobId,
		Generation: m.Job.Generation,
	}
	j := s.ledger.getOrAddJob(now, m.Job)
	for _, c := range m.Earlier {
		s.ledger.addClaim(j, c)
	}
	report.Forgotten = j.mayLackHistory
	if m.Job.Generation < j.generation {
		report.Superseded = true
	} else {
		j.generation = m.Job.Generation
		j.addWatcher(l.entry)
	}
	s.refuseOlderGenerations(j)
	report.Tasks = j.startedUpdates()
	msg := s.pendingMessage(l)
	msg.Reports = append(msg.Reports, report)
}

// refuseOlderGenerations refuses the queued tasks of a job's older generations.
func (s *State) refuseOlderGenerations(j *jobRecord) {
	for _, r := range j.orderedTasks() {
		if r.state == stateQueued && r.generation < j.generation {
			s.removeFromQueue(r)
			s.refuseQueued(r, reason.StaleGeneration)
		}
	}
}

// startedUpdates returns an update for every task of the job that may have
// reached the endpoint.
func (j *jobRecord) startedUpdates() []*wirepb.Update {
	var all []*wirepb.Update
	for _, r := range j.orderedTasks() {
		if r.state != stateRefused && r.state != stateQueued {
			all = append(all, r.wireUpdate())
		}
	}
	return all
}

// handleTaskEnded records the outcome of a task and sends it to every watcher.
func (s *State) handleTaskEnded(now time.Duration, ev TaskEnded) {
	j := s.ledger.jobs[jobKey{team: ev.Ref.Team, id: ev.Ref.Job}]
	if j == nil || j.tasks[ev.Ref.Task] == nil || j.tasks[ev.Ref.Task].state != stateRunning {
		return
	}
	r := j.tasks[ev.Ref.Task]
	s.removeRunning(r)
	s.removeOpenTask(r)
	j.lastUsed = now
	r.took = ev.Took
	r.reason = ev.Reason
	r.detail = ev.Detail
	switch {
	case ev.NotRun:
		r.state = stateRefused
		s.actions = append(s.actions, RecordRefusal{Ref: r.ref, Reason: ev.Reason})
	case ev.Reason != reason.Unspecified:
		r.state = stateFailed
		if ev.Reason == reason.EndpointCrashed {
			s.recordCrash(now, r)
		}
	default:
		r.state = stateDone
		s.recordRunTime(r)
		s.ledger.setResult(r, ev.Result)
	}
	s.notifyWatchers(r)
}

// refuseWithoutRecord refuses a start without a ledger record, because every
// repetition of it is refused for the same reason.
func (s *State) refuseWithoutRecord(l *link, ref TaskRef, m *wirepb.Start, why reason.Reason) {
	s.actions = append(s.actions, RecordRefusal{Ref: ref, Reason: why})
	msg := s.pendingMessage(l)
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

// markRefused turns a record into a tombstone.
func (s *State) markRefused(r *taskRecord, why reason.Reason) {
	r.state = stateRefused
	r.reason = why
	r.payload = nil
	s.actions = append(s.actions, RecordRefusal{Ref: r.ref, Reason: why})
}

// refuseQueued refuses a task that was removed from the queue.
func (s *State) refuseQueued(r *taskRecord, why reason.Reason) {
	s.removeOpenTask(r)
	s.markRefused(r, why)
	s.notifyWatchers(r)
}

func (s *State) refuseAllQueued(why reason.Reason) {
	queue := s.queue
	s.queue = nil
	for _, r := range queue {
		s.refuseQueued(r, why)
	}
}

func (s *State) removeFromQueue(r *taskRecord) {
	for i, other := range s.queue {
		if other == r {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

func (s *State) addOpenTask(r *taskRecord) {
	r.job.openTasks++
	if l := s.byEntry[r.sender]; l != nil {
		l.openTasks++
	}
}

func (s *State) removeOpenTask(r *taskRecord) {
	r.job.openTasks--
	if l := s.byEntry[r.sender]; l != nil && l.openTasks > 0 {
		l.openTasks--
	}
}

func (s *State) sendUpdate(l *link, r *taskRecord) {
	msg := s.pendingMessage(l)
	msg.Updates = append(msg.Updates, r.wireUpdate())
}

func (s *State) notifyWatchers(r *taskRecord) {
	for _, w := range r.job.watchers {
		if l := s.byEntry[w]; l != nil {
			s.sendUpdate(l, r)
		}
	}
}

func taskRefOf(j *wirepb.JobRef, task uint32) TaskRef {
	return TaskRef{Team: j.Team, Job: j.JobId, Task: task}
}

package caller

import (
	"slices"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// complete answers a job whose every task has a result.
func (s *State) complete(j *job) {
	s.count(Finished, reason.Unspecified, j.Key)
	s.finish(j, Answer{Complete: true, Results: j.results()})
}

// fail answers a job with a failure and withdraws what has not ended.
func (s *State) fail(j *job, why reason.Reason, detail string) {
	answer := Answer{Reason: why, Detail: detail, MayHaveRun: j.mayHaveRun()}
	j.answer = answer
	s.count(Failure, why, j.Key)
	s.withdraw(j)
	if !answer.MayHaveRun && j.phase == active && !j.First && !j.Repeatable {
		s.doubt(j, answer)
		return
	}
	s.finish(j, answer)
}

// doubt looks the claim up before an answer says that nothing ran: another
// entry may have taken the job over while this one was paused or cut off.
func (s *State) doubt(j *job, answer Answer) {
	j.phase = proving
	j.refusal = answer
	j.refusal.MayHaveRun = true
	s.deadlines.remove(j)
	s.do(ReadClaim{Key: j.Key})
}

// mayHaveRun reports whether a task may have been started. A task that waits
// was never sent, or its agent has proved that it did not start it.
func (j *job) mayHaveRun() bool {
	for i := range j.tasks {
		if j.tasks[i].state != waiting {
			return true
		}
	}
	return j.ran || j.unproved()
}

// unproved reports whether an earlier submission may have started a task.
func (j *job) unproved() bool {
	switch j.phase {
	case locating, following, takingOver, fencing:
		return true
	case proving, claiming:
		return !j.First && !j.Repeatable
	case active, finished:
		return false
	}
	return true
}

// withdraw cancels what was sent and drops what waits.
func (s *State) withdraw(j *job) {
	s.dequeue(j)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != sent && t.state != started {
			continue
		}
		s.sendCancel(j, i)
		s.release(j, i)
		t.state = waiting
	}
}

func (s *State) sendCancel(j *job, i int) {
	t := &j.tasks[i]
	if t.on == nil || !t.on.Linked {
		return
	}
	msg := s.message(t.on)
	msg.Cancels = append(msg.Cancels, &wirepb.Cancel{Job: j.ref(), Task: uint32(i), Attempt: t.attempt})
}

// release takes a task off the member that it was sent to.
func (s *State) release(j *job, i int) {
	t := &j.tasks[i]
	s.pool.Ended(t.on, j.taskRef(i))
	s.team(j.Team).running--
	if q := s.queues[j.Service]; q != nil {
		q.work -= t.expected
	}
	t.on = nil
	j.open--
}

// finish answers every caller and keeps the answer for resubmissions.
func (s *State) finish(j *job, answer Answer) {
	j.phase = finished
	j.answer = answer
	j.ended = s.now
	j.fences = nil
	s.open--
	s.deadlines.remove(j)
	s.replyAll(j)
	for i := range j.tasks {
		j.tasks[i].Payload = nil
		j.tasks[i].result = nil
	}
	if j.Repeatable {
		s.remove(j)
		return
	}
	s.answers.PushBack(j)
}

// drop answers a job and forgets it, so that a resubmission starts afresh.
func (s *State) drop(j *job, answer Answer) {
	j.answer = answer
	s.count(Refusal, answer.Reason, j.Key)
	j.phase = finished
	s.open--
	s.deadlines.remove(j)
	s.remove(j)
	s.replyAll(j)
}

// remove forgets a job.
func (s *State) remove(j *job) {
	delete(s.jobs, j.Key)
	if name := (Key{Team: j.Team, ID: j.Name}); s.named[name] == j {
		delete(s.named, name)
	}
}

// replyAll answers the callers of a job that has ended. A team without tasks is
// forgotten with it, since callers choose the names of teams.
func (s *State) replyAll(j *job) {
	if t := s.team(j.Team); t.running == 0 && t.queued == 0 {
		delete(s.teams, j.Team)
	}
	for _, t := range j.tickets {
		s.reply(t, j.Key, j.answer)
	}
	j.tickets = nil
}

func (s *State) reply(t Ticket, key Key, a Answer) {
	s.do(Reply{Ticket: t, Key: key, Answer: a})
}

// cancel ends a job at a caller's wish. Tasks that agents hold are answered
// for by the agents, so that the answer can say whether anything ran.
func (s *State) cancel(j *job) {
	if j.phase == following {
		j.cancelled = true
		s.askOwner(j)
		return
	}
	if j.phase != active {
		s.fail(j, reason.Cancelled, "cancelled by the caller")
		return
	}
	if j.cancelled {
		return
	}
	j.cancelled = true
	s.dequeue(j)
	for i := range j.tasks {
		if j.tasks[i].state == sent {
			s.sendCancel(j, i)
		}
	}
	s.settleCancel(j)
}

// settleCancel answers a cancelled job once every task is accounted for.
func (s *State) settleCancel(j *job) {
	for i := range j.tasks {
		if j.tasks[i].state == sent {
			return
		}
	}
	s.fail(j, reason.Cancelled, "cancelled by the caller")
}

// expire fails the jobs whose deadline has passed and forgets old answers.
func (s *State) expire() {
	for j := s.deadlines.first(); j != nil && j.Deadline <= s.now; j = s.deadlines.first() {
		s.fail(j, reason.DeadlinePassed, "the deadline has passed")
	}
	for e := s.answers.Front(); e != nil; e = s.answers.Front() {
		j := e.Value.(*job)
		if s.now-j.ended < s.opts.AnswerRetention {
			return
		}
		s.answers.Remove(e)
		delete(s.jobs, j.Key)
	}
}

// dequeue takes a job out of its service's queue.
func (s *State) dequeue(j *job) {
	s.queued -= len(j.waiting)
	s.team(j.Team).queued -= len(j.waiting)
	q := s.queues[j.Service]
	if q != nil {
		q.work -= j.waitingWork()
	}
	j.waiting = nil
	if !j.inQueue {
		return
	}
	j.inQueue = false
	q.teams[j.Team] = slices.DeleteFunc(q.teams[j.Team], func(o *job) bool { return o == j })
	if len(q.teams[j.Team]) == 0 {
		delete(q.teams, j.Team)
	}
}

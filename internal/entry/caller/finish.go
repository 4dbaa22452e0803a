package caller

import (
	"slices"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// completeJob answers a job whose every task has a result.
func (s *State) completeJob(j *job) {
	s.countJobEvent(Finished, reason.Unspecified, j.Key)
	s.finishJob(j, Answer{Complete: true, Results: j.results()})
}

// failJob answers a job with a failure, and cancels the tasks that have not
// ended.
func (s *State) failJob(j *job, cause reason.Reason, detail string) {
	answer := Answer{Reason: cause, Detail: detail, MayHaveRun: j.mayHaveRun()}
	j.answer = answer
	s.countJobEvent(Failure, cause, j.Key)
	s.cancelTasks(j)
	if !answer.MayHaveRun && j.phase == active && !j.FirstSubmission && !j.Repeatable {
		s.verifyNotRun(j, answer)
		return
	}
	s.finishJob(j, answer)
}

// verifyNotRun reads the claim before a job is answered as not run: another
// entry may have taken the job over while this one was paused or disconnected.
func (s *State) verifyNotRun(j *job, answer Answer) {
	j.phase = proving
	j.provisionalAnswer = answer
	j.provisionalAnswer.MayHaveRun = true
	s.deadlines.remove(j)
	s.emit(ReadClaim{Key: j.Key})
}

// mayHaveRun reports whether a task of the job may have been started. A waiting
// task was either never sent, or its agent has confirmed that it did not start
// it.
func (j *job) mayHaveRun() bool {
	for i := range j.tasks {
		if j.tasks[i].state != waiting {
			return true
		}
	}
	return j.hasRun || j.earlierMayHaveRun()
}

// earlierMayHaveRun reports whether a task may have been started for an earlier
// submission of the job, possibly through another entry.
func (j *job) earlierMayHaveRun() bool {
	switch j.phase {
	case locating, following, takingOver, fencing:
		return true
	case proving, claiming:
		return !j.FirstSubmission && !j.Repeatable
	case active, finished:
		return false
	}
	return true
}

// cancelTasks cancels the tasks that agents hold, and removes the waiting ones
// from the queue.
func (s *State) cancelTasks(j *job) {
	s.dequeue(j)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != sent && t.state != started {
			continue
		}
		s.sendCancel(j, i)
		s.releaseTask(j, i)
		t.state = waiting
	}
}

// sendCancel sends a cancel for a task to the member that holds it, unless its
// link is down.
func (s *State) sendCancel(j *job, i int) {
	t := &j.tasks[i]
	if t.member == nil || !t.member.Linked {
		return
	}
	msg := s.pendingMessage(t.member)
	msg.Cancels = append(msg.Cancels, &wirepb.Cancel{Job: j.ref(), Task: uint32(i), Attempt: t.attempt})
}

// releaseTask removes a task from the member that holds it, and from the counts
// of running tasks.
func (s *State) releaseTask(j *job, i int) {
	t := &j.tasks[i]
	s.pool.RecordTaskEnded(t.member, j.taskRef(i))
	s.team(j.Team).runningTasks--
	if q := s.queues[j.Service]; q != nil {
		q.expectedWork -= t.expectedRunTime
		q.removePlacement(t)
	}
	t.member = nil
	j.tasksAtAgents--
}

// finishJob answers all waiting callers of a job. The answer of a claimed job
// is kept for AnswerRetention, so that resubmissions receive it as well.
func (s *State) finishJob(j *job, answer Answer) {
	j.phase = finished
	j.answer = answer
	j.endedAt = s.now
	j.fences = nil
	s.openJobs--
	s.deadlines.remove(j)
	s.replyAll(j)
	for i := range j.tasks {
		j.tasks[i].Payload = nil
		j.tasks[i].result = nil
	}
	if j.Repeatable {
		s.removeJob(j)
		return
	}
	s.finishedJobs.PushBack(j)
}

// refuseJob answers a job with a refusal and removes its record, so that a
// resubmission is treated as a new job.
func (s *State) refuseJob(j *job, answer Answer) {
	j.answer = answer
	s.countJobEvent(Refusal, answer.Reason, j.Key)
	j.phase = finished
	s.openJobs--
	s.deadlines.remove(j)
	s.removeJob(j)
	s.replyAll(j)
}

// removeJob removes the record of a job.
func (s *State) removeJob(j *job) {
	delete(s.jobs, j.Key)
	if callerKey := (Key{Team: j.Team, ID: j.CallerJobID}); s.openByCallerID[callerKey] == j {
		delete(s.openByCallerID, callerKey)
	}
}

// replyAll answers the waiting callers of a job that has ended. It also removes
// the record of the job's team if the team has no tasks: callers choose the
// names of teams, so their number is not bounded.
func (s *State) replyAll(j *job) {
	if t := s.team(j.Team); t.runningTasks == 0 && t.queuedTasks == 0 {
		delete(s.teams, j.Team)
	}
	for _, t := range j.tickets {
		delete(s.jobsByTicket, t)
		s.reply(t, j.Key, j.answer)
	}
	j.tickets = nil
}

func (s *State) reply(t Ticket, key Key, a Answer) {
	s.emit(Reply{Ticket: t, Key: key, Answer: a})
}

// cancelJob cancels a job at the request of a caller. It waits until the agents
// have reported the state of the tasks sent to them, so that the answer can say
// whether anything ran.
func (s *State) cancelJob(j *job) {
	if j.phase == following {
		j.cancelled = true
		s.awaitOwner(j)
		return
	}
	if j.phase != active {
		s.failJob(j, reason.Cancelled, "cancelled by the caller")
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

// settleCancel answers a cancelled job once the agents have reported on every
// task that was sent.
func (s *State) settleCancel(j *job) {
	for i := range j.tasks {
		if j.tasks[i].state == sent {
			return
		}
	}
	s.failJob(j, reason.Cancelled, "cancelled by the caller")
}

// expireJobs fails the jobs whose deadline has passed, and removes finished
// jobs after the retention time.
func (s *State) expireJobs() {
	for j := s.deadlines.first(); j != nil && j.Deadline <= s.now; j = s.deadlines.first() {
		s.failJob(j, reason.DeadlinePassed, "the deadline has passed")
	}
	for e := s.finishedJobs.Front(); e != nil; e = s.finishedJobs.Front() {
		j := e.Value.(*job)
		if s.now-j.endedAt < s.opts.AnswerRetention {
			return
		}
		s.finishedJobs.Remove(e)
		delete(s.jobs, j.Key)
	}
}

// dequeue removes a job and its waiting tasks from the queue of its service.
func (s *State) dequeue(j *job) {
	s.queuedTasks -= len(j.waitingTasks)
	s.team(j.Team).queuedTasks -= len(j.waitingTasks)
	q := s.queues[j.Service]
	if q != nil {
		q.expectedWork -= j.expectedWaitingWork()
	}
	j.waitingTasks = nil
	if !j.inQueue {
		return
	}
	j.inQueue = false
	q.jobsByTeam[j.Team] = slices.DeleteFunc(q.jobsByTeam[j.Team], func(o *job) bool { return o == j })
	if len(q.jobsByTeam[j.Team]) == 0 {
		delete(q.jobsByTeam, j.Team)
	}
}

package caller

import (
	"slices"
	"strings"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// Repeatable jobs with an attempt limit have no claim. Their caller submits
// them again when its connection breaks, and by then every run of the first
// submission must have ended. Three rules ensure that: the entry cancels the
// tasks when the caller disconnects; agents stop the tasks of an entry that is
// silent; and runs on the endpoint of a silent agent end when its lease lapses.
// For the same reason, a task is placed again only after its previous run is
// known to have ended.

// isRepeatableJob reports whether this is a repeatable job with an attempt
// limit per task. A repeatable request has a retry budget instead.
func (j *Job) isRepeatableJob() bool { return j.Repeatable && j.MaxAttempts > 0 }

// findJob returns the record of the job that a submission repeats, or nil.
func (s *State) findJob(sub *Job) *job {
	if sub.CallerJobID != "" {
		return s.openByCallerID[Key{Team: sub.Team, ID: sub.CallerJobID}]
	}
	return s.jobs[sub.Key]
}

// handleRunFailure places a task again after a run without a result, or fails
// the job at its attempt limit. Only runs that ended with EndpointFailed count
// against the limit, not those that were stopped, such as by a lapsed lease. Crashes
// of endpoints have a limit of their own.
func (s *State) handleRunFailure(j *job, i int, cause reason.Reason, detail string) {
	t := &j.tasks[i]
	if cause == reason.NoProgress {
		t.stalledRuns++
	}
	if cause == reason.EndpointCrashed && s.mustGiveUp(j, i) {
		s.failJob(j, cause, crashDetail)
		return
	}
	if cause == reason.EndpointFailed {
		t.failedRuns++
		if t.failedRuns >= j.MaxAttempts {
			s.failJob(j, cause, detail)
			return
		}
	}
	s.rerunTask(j, i, cause)
}

// rerunTask places a task again after its previous run is known to have ended.
func (s *State) rerunTask(j *job, i int, cause reason.Reason) {
	s.emit(RecordCount{Count: Retry, Reason: cause, Ref: j.taskRef(i), Agent: j.tasks[i].member.Incarnation})
	j.hasRun = true
	s.releaseTask(j, i)
	s.requeueTask(j, i)
}

// isEndpointFault reports whether a run that ended for this reason counts as a
// failure of its endpoint.
func isEndpointFault(cause reason.Reason) bool {
	switch cause {
	case reason.EndpointFailed, reason.NoProgress, reason.EndpointSilent:
		return true
	default:
		return false
	}
}

// handleUnownedUpdate cancels the repeatable task that an update reports as queued or
// running, and that this entry has not placed at the member: its cancel was lost with
// a link, or it was placed elsewhere while the member was unreachable. If the update
// has a reason, the agent is stopping the task already.
func (s *State) handleUnownedUpdate(m *agent.Member, u *wirepb.Update) {
	s.followEarlierAttempt(m, u)
	if u.Reason != 0 || !strings.HasPrefix(u.JobId, RepeatableIDPrefix) {
		return
	}
	ref := agent.TaskRef{Team: u.Team, Job: u.JobId, Task: int(u.Task)}
	if u.State == wirepb.TaskState_TASK_STATE_DONE {
		s.emit(RecordCount{Count: UnownedResult, Reason: reason.Unspecified, Ref: ref, Agent: m.Incarnation})
		return
	}
	if u.State != wirepb.TaskState_TASK_STATE_QUEUED && u.State != wirepb.TaskState_TASK_STATE_RUNNING {
		return
	}
	s.emit(RecordCount{Count: UnownedTask, Reason: reason.Cancelled, Ref: ref, Agent: m.Incarnation})
	job := &wirepb.JobRef{Team: u.Team, JobId: u.JobId, Generation: u.Generation, Owner: s.opts.Incarnation}
	if j := s.jobs[Key{Team: u.Team, ID: u.JobId}]; j != nil {
		job = j.ref()
	}
	msg := s.pendingMessage(m)
	msg.Cancels = append(msg.Cancels, &wirepb.Cancel{Job: job, Task: u.Task, Attempt: u.Attempt})
}

// followEarlierAttempt handles an update about an earlier attempt of a task that is
// placed at the same member again. The agent answers the start of the later attempt
// with the state of the earlier one while that is open, so that the start is sent
// again after its end.
func (s *State) followEarlierAttempt(m *agent.Member, u *wirepb.Update) {
	j := s.jobs[Key{Team: u.Team, ID: u.JobId}]
	if j == nil || !j.isRepeatableJob() || j.phase != active || int(u.Task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[u.Task]
	if t.member != m || u.Attempt >= t.attempt {
		return
	}
	switch u.State {
	case wirepb.TaskState_TASK_STATE_QUEUED, wirepb.TaskState_TASK_STATE_RUNNING:
		t.openEarlierAttempt = u.Attempt
	case wirepb.TaskState_TASK_STATE_DONE, wirepb.TaskState_TASK_STATE_FAILED, wirepb.TaskState_TASK_STATE_REFUSED:
		if t.openEarlierAttempt == u.Attempt {
			t.openEarlierAttempt = 0
			s.sendStart(j, int(u.Task))
		}
	case wirepb.TaskState_TASK_STATE_UNSPECIFIED:
	}
}

// removeOtherIncarnations abandons the tasks of the other incarnations of a linked
// agent and removes their records. An agent announces itself only after it has
// stopped the runs of its earlier incarnations. Announcements can arrive late, also
// through other entries; only an open link shows which incarnation is alive.
func (s *State) removeOtherIncarnations(current *agent.Member) {
	if current.OrphanRunLimit == 0 || current.ID == "" {
		return
	}
	for _, m := range s.pool.All() {
		if m != current && m.ID == current.ID {
			s.abandonTasks(m, reason.AgentReplaced)
			s.removeMember(m)
		}
	}
}

// checkUnlinkedLeasedMember applies the timeouts of a member without a link
// whose runs end by themselves when its lease lapses.
func (s *State) checkUnlinkedLeasedMember(m *agent.Member, unreachableFor time.Duration) {
	if s.now-m.LastReceivedAt > m.OrphanRunLimit {
		s.abandonTasks(m, reason.AgentLost)
	}
	if unreachableFor > memberRemovalTimeout && len(m.OpenTasks) == 0 {
		s.removeMember(m)
	}
}

// countUnfinishedByStep counts the tasks of each step that have no result.
func (j *job) countUnfinishedByStep() {
	j.unfinishedByStep = make([]int, max(1, len(j.After)))
	for i := range j.tasks {
		if j.tasks[i].state != done {
			j.unfinishedByStep[j.tasks[i].Step]++
		}
	}
}

// stepReady reports whether all steps that the given step depends on are done.
func (j *job) stepReady(step int) bool {
	if step >= len(j.After) {
		return true
	}
	return !slices.ContainsFunc(j.After[step], func(before int) bool { return j.unfinishedByStep[before] > 0 })
}

// advanceSteps records that a task of a step is done. After the last one, it
// queues the tasks of the steps that have become ready.
func (s *State) advanceSteps(j *job, step int) {
	if len(j.unfinishedByStep) == 0 {
		return
	}
	j.unfinishedByStep[step]--
	if j.unfinishedByStep[step] > 0 || j.cancelled {
		return
	}
	var ready []int
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.Step < len(j.After) && slices.Contains(j.After[t.Step], step) && j.stepReady(t.Step) {
			t.expectedRunTime = s.pool.ExpectedRunTime(j.requirements(i))
			ready = append(ready, i)
		}
	}
	for _, i := range slices.Backward(ready) {
		s.requeueTask(j, i)
	}
}

package caller

import (
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// handleAgentAnnounced adds or updates the member that an agent announces. It
// opens a link if there is none, and adds the member to the roster.
func (s *State) handleAgentAnnounced(ev AgentAnnounced) {
	m, _ := s.pool.AddOrUpdate(s.now, ev.Info)
	m.OutOfService = s.outOfService(m)
	if m.Linked {
		s.removeOtherIncarnations(m)
	} else {
		// The link of a known member may have been given up because its process
		// refused connections. It is listening now.
		s.emit(OpenLink{Agent: m.Incarnation, Address: m.Address})
	}
	s.addToRoster(m)
}

// outOfService reports whether the configuration takes a member out of service,
// by its zone or its id.
func (s *State) outOfService(m *agent.Member) bool {
	return s.doc.ZoneOutOfService(m.Zone) || s.doc.EndpointDrained(m.ID)
}

// handleConfigurationLoaded applies a configuration document unless a later
// version is in force. It sends a message to each member that the document takes
// out of service or returns to service.
func (s *State) handleConfigurationLoaded(ev ConfigurationLoaded) {
	if ev.Document.Version() < s.doc.Version() {
		return
	}
	s.doc = ev.Document
	s.pool.Each(func(m *agent.Member) {
		wasOut := m.OutOfService
		m.OutOfService = s.outOfService(m)
		if m.OutOfService != wasOut && m.Linked {
			s.pendingMessage(m)
		}
	})
}

// configView returns the state of the configuration as sent to a member. It is
// nil for a member known only from a roster, since its id and zone are missing.
func (s *State) configView(m *agent.Member) *wirepb.View {
	if m.ID == "" {
		return nil
	}
	return &wirepb.View{
		Version:   s.doc.Version(),
		Open:      !m.OutOfService,
		Confirmed: s.configConfirmed(),
		AgeMs:     uint32(max(0, s.now-s.configConfirmedAt).Milliseconds()) + 1,
		Echo:      m.Stamp,
	}
}

// pendingMessage returns the message that the current step will send to a
// member, created on first use.
func (s *State) pendingMessage(m *agent.Member) *wirepb.ToAgent {
	if m.PendingMessage == nil {
		m.PendingMessage = &wirepb.ToAgent{}
		s.membersToMessage = append(s.membersToMessage, m)
	}
	return m.PendingMessage
}

// sendPendingMessages sends the pending messages of the current step. Those for
// members without a link are dropped; when the link opens, handleLinkUp resends the
// unanswered starts and fences, and handleUnownedUpdate the cancels.
func (s *State) sendPendingMessages() {
	for _, m := range s.membersToMessage {
		if m.Linked {
			m.PendingMessage.View = s.configView(m)
			m.RecordPendingSent(s.now)
			s.emit(SendToAgent{Agent: m.Incarnation, Session: m.Session, Msg: m.PendingMessage})
		}
		m.PendingMessage = nil
	}
	s.membersToMessage = s.membersToMessage[:0]
}

// handleLinkUp resends every start and fence that the member has not answered, and
// the cancels of open jobs. Agents recognize starts and fences that they have already
// received. The first message of the agent lists its tasks, of which those are
// cancelled that are not open any more.
func (s *State) handleLinkUp(ev LinkUp) {
	m := s.pool.Get(ev.Agent)
	if m == nil || ev.Session < m.Session {
		return
	}
	m.Linked = true
	m.Session = ev.Session
	m.LinkChangedAt = s.now
	m.LastReceivedAt = s.now
	// No stamp is echoed before the agent's tasks are known, since an echo keeps all
	// of them running.
	m.Stamp = 0
	switch {
	case ev.Info != nil:
		s.handleAgentAnnounced(AgentAnnounced{Info: ev.Info})
	case m.Info != nil:
		s.removeOtherIncarnations(m)
	}
	s.pendingMessage(m).Ping = true
	m.EachOpenTask(func(ref agent.TaskRef) {
		j := s.jobs[Key{Team: ref.Team, ID: ref.Job}]
		if j.interrupted {
			s.failInterrupted(j)
			return
		}
		s.sendStart(j, ref.Task)
		if j.cancelled {
			s.sendCancel(j, ref.Task)
		}
	})
	for _, j := range s.fencingJobs() {
		if state, ok := j.fences[m.Incarnation]; ok && state != fenceAnswered {
			s.sendFence(j, m)
		}
	}
}

// handleLinkDown records that a link has ended. If the incarnation has ended as
// well, its tasks are abandoned at once, unless its runs are leased: those may
// continue at the endpoint until the lease lapses. A link that was closed or given up
// may be followed by another one before its last events arrive.
func (s *State) handleLinkDown(ev LinkDown) {
	m := s.pool.Get(ev.Agent)
	if m == nil || ev.Session < m.Session {
		return
	}
	if m.Linked {
		s.emit(RecordCount{Count: Retry, Reason: reason.LinkBroken, Agent: m.Incarnation})
		m.Linked = false
		m.LinkChangedAt = s.now
	}
	if ev.Gone && m.OrphanRunLimit == 0 {
		s.abandonTasks(m, reason.AgentLost)
		s.removeMember(m)
	}
}

// abandonTasks treats the tasks of a member as lost, and its outstanding fence
// reports as failed.
func (s *State) abandonTasks(m *agent.Member, cause reason.Reason) {
	m.EachOpenTask(func(ref agent.TaskRef) {
		s.abandonTask(s.jobs[Key{Team: ref.Team, ID: ref.Job}], ref.Task, cause)
	})
	for _, j := range s.fencingJobs() {
		if state, ok := j.fences[m.Incarnation]; ok && state == fencePending {
			s.markFenceFailed(j, m.Incarnation)
		}
	}
}

// abandonTask treats a task as lost: it places a task of a repeatable job again,
// retries a repeatable request within its retry budget, and fails any other job.
func (s *State) abandonTask(j *job, i int, cause reason.Reason) {
	if j.isRepeatableJob() {
		s.rerunTask(j, i, cause)
		return
	}
	if j.Repeatable {
		s.retryRequest(j, i, cause, "the agent is unreachable")
		return
	}
	s.failJob(j, cause, "an agent that held a task is unreachable")
}

// removeMember removes the record of a member and closes its link.
func (s *State) removeMember(m *agent.Member) {
	s.emit(CloseLink{Agent: m.Incarnation})
	s.pool.Remove(m)
}

// handleAgentMessage applies a message from an agent.
func (s *State) handleAgentMessage(ev AgentMessage) {
	m := s.pool.Get(ev.Agent)
	if m == nil {
		return
	}
	m.LastReceivedAt = s.now
	m.Stamp = max(m.Stamp, ev.Msg.Stamp)
	for _, u := range ev.Msg.Updates {
		s.handleTaskUpdate(m, u)
	}
	if ev.Msg.Info != nil {
		s.handleAgentAnnounced(AgentAnnounced{Info: ev.Msg.Info})
	}
	if ev.Msg.Load != nil {
		s.pool.UpdateLoad(s.now, m, ev.Msg.Load)
	}
	for _, r := range ev.Msg.Reports {
		s.handleFenceReport(m, r)
	}
	if ev.Msg.Probe {
		s.pendingMessage(m)
	}
}

// handleTaskUpdate applies the reported state of a task. It ignores updates from
// a member that does not hold the task and, for repeatable jobs and requests,
// updates about an earlier attempt. Outcomes of tasks on an endpoint that was replaced
// don't count for the present one.
func (s *State) handleTaskUpdate(m *agent.Member, u *wirepb.Update) {
	if u.Generation == 0 && reason.Reason(u.Reason) == reason.EndpointCrashed {
		s.handleCrashNotice(m, u)
		return
	}
	j := s.jobs[Key{Team: u.Team, ID: u.JobId}]
	if !j.placedAt(m, u) {
		s.handleUnownedUpdate(m, u)
		return
	}
	i := int(u.Task)
	t := &j.tasks[i]
	switch u.State {
	case wirepb.TaskState_TASK_STATE_RUNNING:
		t.state = started
		s.settleIfCancelled(j)
	case wirepb.TaskState_TASK_STATE_DONE:
		s.recordRunTime(j, i, time.Duration(u.RunUs)*time.Microsecond)
		if t.endpoint == m.Endpoint {
			s.pool.RecordSuccess(m, t.Kind, time.Duration(u.RunUs)*time.Microsecond, t.Declared)
		}
		j.recordRun(tracedRun{m.ID, t.sentAt - j.arrivedAt, s.now - t.sentAt, time.Duration(u.RunUs) * time.Microsecond})
		s.recordStartWait(j, i, time.Duration(u.RunUs)*time.Microsecond)
		s.completeTask(j, i, u.Result)
	case wirepb.TaskState_TASK_STATE_FAILED:
		if isEndpointFault(reason.Reason(u.Reason)) && t.endpoint == m.Endpoint {
			s.pool.RecordFailure(s.now, m, j.taskRef(i))
		}
		s.handleTaskFailure(j, i, u)
	case wirepb.TaskState_TASK_STATE_REFUSED:
		if u.Generation == t.generation && u.Attempt == t.attempt {
			s.handleTaskRefusal(j, i, m, u)
		}
	case wirepb.TaskState_TASK_STATE_QUEUED, wirepb.TaskState_TASK_STATE_UNSPECIFIED:
	}
}

// placedAt reports whether the task that an update of a member is about is placed at
// that member and, for repeatable jobs and requests, in the attempt of the update.
func (j *job) placedAt(m *agent.Member, u *wirepb.Update) bool {
	if j == nil || j.phase != active && j.phase != fencing || int(u.Task) >= len(j.tasks) {
		return false
	}
	t := &j.tasks[u.Task]
	return t.member == m && (!j.Repeatable || u.Attempt == t.attempt)
}

// completeTask stores the result of a task, and answers the job after the last
// one.
func (s *State) completeTask(j *job, i int, result []byte) {
	t := &j.tasks[i]
	s.releaseTask(j, i)
	t.state = done
	t.result = result
	j.doneTasks++
	s.advanceSteps(j, t.Step)
	switch {
	case j.doneTasks == len(j.tasks):
		s.completeJob(j)
	case j.cancelled:
		s.settleCancel(j)
	}
}

// handleTaskFailure handles the failure of a task that had started. Only tasks
// of repeatable jobs and requests are run again.
func (s *State) handleTaskFailure(j *job, i int, u *wirepb.Update) {
	cause := reason.Reason(u.Reason)
	if j.isRepeatableJob() {
		s.handleRunFailure(j, i, cause, u.Detail)
		return
	}
	if j.Repeatable {
		s.retryRequest(j, i, cause, u.Detail)
		return
	}
	s.failJob(j, cause, u.Detail)
}

// handleTaskRefusal places a task again after an agent has confirmed that it
// did not start it, unless the job was cancelled or another entry has taken it
// over.
func (s *State) handleTaskRefusal(j *job, i int, m *agent.Member, u *wirepb.Update) {
	cause := reason.Reason(u.Reason)
	s.releaseTask(j, i)
	j.tasks[i].state = waiting
	if cause == reason.StaleGeneration {
		s.handleSuperseded(j)
		return
	}
	if j.cancelled {
		s.settleCancel(j)
		return
	}
	s.emit(RecordCount{Count: Retry, Reason: cause, Ref: j.taskRef(i), Agent: m.Incarnation})
	if cause != reason.EntrySilent && cause != reason.EndpointReplaced {
		s.pool.RecordRefusal(s.now, m)
	}
	if j.phase == fencing {
		s.settleFences(j)
		return
	}
	s.requeueTask(j, i)
}

func (s *State) settleIfCancelled(j *job) {
	if j.cancelled {
		s.settleCancel(j)
	}
}

// retryRequest places the task of a repeatable request again if the retry
// budget of its service allows, and fails the request otherwise.
func (s *State) retryRequest(j *job, i int, cause reason.Reason, detail string) {
	if !s.retryBudget(j.Service).withdraw() {
		s.countJobEvent(Refusal, reason.RetryBudgetSpent, j.Key)
		s.failJob(j, cause, detail)
		return
	}
	s.sendCancel(j, i)
	s.emit(RecordCount{Count: Retry, Reason: cause, Ref: j.taskRef(i), Agent: j.tasks[i].member.Incarnation})
	j.hasRun = true
	s.releaseTask(j, i)
	s.requeueTask(j, i)
}

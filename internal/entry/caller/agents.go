package caller

import (
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

const (
	// busyPing is how often a member with work is pinged.
	busyPing = 250 * time.Millisecond
	// warmPing is how often a member that had work lately is pinged.
	warmPing = 400 * time.Millisecond
	// warmFor is how long a member counts as having had work lately.
	warmFor = 10 * time.Second
	// idlePing is how often every other member is pinged.
	idlePing = 30 * time.Second
	// keepParts is how often a member that stops the runs of a silent entry is
	// spoken to, in the time within which those have surely ended. It stops them
	// after a third of that.
	keepParts = 11
	// warmParts is the same for one that had work lately, so that its next start
	// echoes a stamp that is young enough.
	warmParts = 5
	// silentAfter is how long a pinged member may stay silent before its
	// connection is replaced.
	silentAfter = 600 * time.Millisecond
	// requestLost is how long a member may be out of reach before a
	// repeatable request is retried elsewhere.
	requestLost = time.Second
	// agentLost is how long a member may be out of reach before jobs that
	// have tasks there fail.
	agentLost = 3 * time.Second
	// forgetMember is how long a member without work may be out of reach
	// before it is forgotten; a live agent announces itself again.
	forgetMember = 10 * time.Second
)

func (s *State) announced(ev Announced) {
	m, added := s.pool.Announce(s.now, ev.Info)
	m.Out = s.outOfService(m)
	if added {
		s.do(OpenLink{Agent: m.Incarnation, Address: m.Address})
		s.replaced(m)
	}
	s.enlist(m)
}

// outOfService reports whether the configuration takes a member out of service.
func (s *State) outOfService(m *agent.Member) bool {
	return s.doc.ZoneOut(m.Zone) || s.doc.Drained(m.ID)
}

func (s *State) configured(ev Configured) {
	if ev.Document.Version() < s.doc.Version() {
		return
	}
	s.doc = ev.Document
	s.pool.Each(func(m *agent.Member) {
		was := m.Out
		m.Out = s.outOfService(m)
		if m.Out != was && m.Linked {
			s.message(m)
		}
	})
}

// view is what the entry tells a member of the configuration; nothing while it
// knows the member by its roster only, without its id and zone.
func (s *State) view(m *agent.Member) *wirepb.View {
	if m.ID == "" {
		return nil
	}
	return &wirepb.View{
		Version:   s.doc.Version(),
		Open:      !m.Out,
		Confirmed: s.viewFresh(),
		AgeMs:     uint32(max(0, s.now-s.confirmed).Milliseconds()) + 1,
		Echo:      m.Stamp,
	}
}

// message returns the message that this step sends to a member.
func (s *State) message(m *agent.Member) *wirepb.ToAgent {
	if m.Pending == nil {
		m.Pending = &wirepb.ToAgent{}
		s.dirty = append(s.dirty, m)
	}
	return m.Pending
}

// flush emits one message for each member that has something to be told.
func (s *State) flush() {
	for _, m := range s.dirty {
		if m.Linked {
			m.Pending.View = s.view(m)
			m.Sending(s.now)
			s.do(SendAgent{Agent: m.Incarnation, Msg: m.Pending})
		}
		m.Pending = nil
	}
	s.dirty = s.dirty[:0]
}

// linkUp sends again whatever the member has not answered; an agent takes a
// start or fence that it knows for what it is.
func (s *State) linkUp(ev LinkUp) {
	m := s.pool.Get(ev.Agent)
	if m == nil {
		return
	}
	m.Linked = true
	m.Since = s.now
	m.Heard = s.now
	if ev.Info != nil {
		s.announced(Announced{Info: ev.Info})
	}
	s.message(m).Ping = true
	for ref := range m.Work {
		j := s.jobs[Key{Team: ref.Team, ID: ref.Job}]
		s.sendStart(j, ref.Task)
		if j.cancelled {
			s.sendCancel(j, ref.Task)
		}
	}
	for _, j := range s.fencing() {
		if state, ok := j.fences[m.Incarnation]; ok && state != fenceAnswered {
			s.sendFence(j, m)
		}
	}
}

func (s *State) linkDown(ev LinkDown) {
	m := s.pool.Get(ev.Agent)
	if m == nil {
		return
	}
	if m.Linked {
		s.do(Counted{What: Retry, Reason: reason.LinkBroken, Agent: m.Incarnation})
		m.Linked = false
		m.Since = s.now
	}
	if ev.Gone && m.RunsOver == 0 {
		s.lose(m, reason.AgentLost)
		s.forget(m)
	}
}

// lose gives up on the tasks that a member holds.
func (s *State) lose(m *agent.Member, why reason.Reason) {
	for ref := range m.Work {
		j := s.jobs[Key{Team: ref.Team, ID: ref.Job}]
		s.loseTask(j, ref.Task, why)
	}
	for _, j := range s.fencing() {
		if state, ok := j.fences[m.Incarnation]; ok && state == fenceSent {
			s.fenceLost(j, m.Incarnation)
		}
	}
}

func (s *State) loseTask(j *job, i int, why reason.Reason) {
	if j.wholeRepeatable() {
		s.again(j, i, why)
		return
	}
	if j.Repeatable {
		s.retry(j, i, why, "the agent is out of reach")
		return
	}
	s.fail(j, why, "an agent that held a task is out of reach")
}

func (s *State) forget(m *agent.Member) {
	s.do(CloseLink{Agent: m.Incarnation})
	s.pool.Remove(m)
}

// agentSaid takes a message of an agent.
func (s *State) agentSaid(ev AgentSaid) {
	m := s.pool.Get(ev.Agent)
	if m == nil {
		return
	}
	m.Heard = s.now
	m.Stamp = max(m.Stamp, ev.Msg.Stamp)
	for _, u := range ev.Msg.Updates {
		s.update(m, u)
	}
	if ev.Msg.Load != nil {
		s.pool.Report(s.now, m, ev.Msg.Load)
	}
	for _, r := range ev.Msg.Reports {
		s.fenceReport(m, r)
	}
	if ev.Msg.Probe {
		s.message(m)
	}
}

// update takes the state of one task.
func (s *State) update(m *agent.Member, u *wirepb.Update) {
	j := s.jobs[Key{Team: u.Team, ID: u.JobId}]
	if j == nil || j.phase != active && j.phase != fencing || int(u.Task) >= len(j.tasks) {
		return
	}
	i := int(u.Task)
	t := &j.tasks[i]
	if t.on != m || j.wholeRepeatable() && u.Attempt != t.attempt {
		return
	}
	switch u.State {
	case wirepb.TaskState_TASK_STATE_RUNNING:
		t.state = started
		s.afterCancel(j)
	case wirepb.TaskState_TASK_STATE_DONE:
		s.pool.Ran(m, t.Kind, time.Duration(u.RunUs)*time.Microsecond, t.Declared)
		j.noteRun(traced{m.ID, t.sentAt - j.arrived, s.now - t.sentAt, time.Duration(u.RunUs) * time.Microsecond})
		s.taskDone(j, i, u.Result)
	case wirepb.TaskState_TASK_STATE_FAILED:
		if blames(reason.Reason(u.Reason)) {
			s.pool.Failed(s.now, m, j.taskRef(i))
		}
		s.taskFailed(j, i, u)
	case wirepb.TaskState_TASK_STATE_REFUSED:
		if u.Generation == t.generation && u.Attempt == t.attempt {
			s.taskRefused(j, i, m, u)
		}
	case wirepb.TaskState_TASK_STATE_QUEUED, wirepb.TaskState_TASK_STATE_UNSPECIFIED:
	}
}

func (s *State) taskDone(j *job, i int, result []byte) {
	t := &j.tasks[i]
	s.release(j, i)
	t.state = done
	t.result = result
	j.done++
	s.stepDone(j, t.Step)
	switch {
	case j.done == len(j.tasks):
		s.complete(j)
	case j.cancelled:
		s.settleCancel(j)
	}
}

// taskFailed takes a failure after the start. Only a repeatable request runs
// again.
func (s *State) taskFailed(j *job, i int, u *wirepb.Update) {
	why := reason.Reason(u.Reason)
	if j.wholeRepeatable() {
		s.runFailed(j, i, why, u.Detail)
		return
	}
	if j.Repeatable {
		s.retry(j, i, why, u.Detail)
		return
	}
	s.fail(j, why, u.Detail)
}

// taskRefused takes the proof that a task did not start, and places it again.
func (s *State) taskRefused(j *job, i int, m *agent.Member, u *wirepb.Update) {
	why := reason.Reason(u.Reason)
	s.release(j, i)
	j.tasks[i].state = waiting
	if why == reason.StaleGeneration {
		s.superseded(j)
		return
	}
	if j.cancelled {
		s.settleCancel(j)
		return
	}
	s.do(Counted{What: Retry, Reason: why, Ref: j.taskRef(i), Agent: m.Incarnation})
	if why != reason.EntrySilent {
		s.pool.Refused(s.now, m)
	}
	if j.phase == fencing {
		s.settleFences(j)
		return
	}
	s.requeue(j, i)
}

func (s *State) afterCancel(j *job) {
	if j.cancelled {
		s.settleCancel(j)
	}
}

// retry places a repeatable request again if the budget of its service allows.
func (s *State) retry(j *job, i int, why reason.Reason, detail string) {
	if !s.budget(j.Service).spend() {
		s.count(Refusal, reason.RetryBudgetSpent, j.Key)
		s.fail(j, why, detail)
		return
	}
	s.sendCancel(j, i)
	s.do(Counted{What: Retry, Reason: why, Ref: j.taskRef(i), Agent: j.tasks[i].on.Incarnation})
	s.release(j, i)
	s.requeue(j, i)
}

// tick pings members and finds those that are silent or lost.
func (s *State) tick() {
	s.pool.Each(func(m *agent.Member) {
		if m.Linked {
			s.watch(m)
			return
		}
		s.miss(m)
	})
	for _, j := range s.fencing() {
		if s.now >= j.giveUp {
			s.giveUpFences(j)
		}
	}
}

// watch pings a linked member and drops a connection that has gone silent.
func (s *State) watch(m *agent.Member) {
	busy := len(m.Work) > 0 || s.awaitsFence(m)
	if busy && m.Silent(s.now) > silentAfter {
		s.do(Counted{What: Silent, Reason: reason.LinkSilent, Agent: m.Incarnation})
		s.do(ResetLink{Agent: m.Incarnation})
		m.Linked = false
		m.Since = s.now
		return
	}
	if len(m.Work) > 0 && m.RunsOver > 0 && s.now-m.Told >= m.RunsOver/keepParts {
		s.message(m).Ping = true
		return
	}
	if s.now-max(m.Pinged, m.Heard) >= s.pingInterval(m, busy) {
		s.message(m).Ping = true
	}
}

func (s *State) pingInterval(m *agent.Member, busy bool) time.Duration {
	unused := s.now - m.Used
	switch {
	case busy:
		return busyPing
	case unused < warmFor && m.RunsOver > 0:
		return m.RunsOver / warmParts
	case unused < warmFor:
		return warmPing
	default:
		return idlePing
	}
}

// miss looks after a member that is out of reach.
func (s *State) miss(m *agent.Member) {
	gone := s.now - m.Since
	if m.RunsOver > 0 {
		s.missLeased(m, gone)
		return
	}
	if gone > requestLost {
		for ref := range m.Work {
			if j := s.jobs[Key{Team: ref.Team, ID: ref.Job}]; j.Repeatable {
				s.loseTask(j, ref.Task, reason.AgentLost)
			}
		}
	}
	if gone > agentLost {
		s.lose(m, reason.AgentLost)
	}
	if gone > forgetMember && len(m.Work) == 0 {
		s.forget(m)
	}
}

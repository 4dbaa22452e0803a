package caller

import (
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

const (
	// busyPingInterval is the interval of pings to a busy member: one that
	// holds tasks or has a fence report outstanding.
	busyPingInterval = 250 * time.Millisecond
	// recentPingInterval is the interval of pings to a member that was sent a
	// task within recentUseWindow.
	recentPingInterval = 400 * time.Millisecond
	// recentUseWindow is how long after its last task a member still counts as
	// recently used.
	recentUseWindow = 10 * time.Second
	// idlePingInterval is the interval of pings to all other members.
	idlePingInterval = 30 * time.Second
	// leasedBusyKeepalives is how many messages a busy member with leased runs
	// is sent per OrphanRunLimit. The agent stops the runs when it has received
	// no message for a third of that time.
	leasedBusyKeepalives = 11
	// leasedRecentKeepalives is the same number for a recently used member
	// without tasks. It keeps the stamp that the next start echoes recent enough
	// for the agent to accept the start.
	leasedRecentKeepalives = 5
	// linkSilenceTimeout is how long a busy member may leave a ping unanswered
	// before its connection is replaced.
	linkSilenceTimeout = 600 * time.Millisecond
	// requestUnreachableTimeout is how long a member may be unreachable before
	// the repeatable requests that it holds are retried.
	requestUnreachableTimeout = time.Second
	// agentUnreachableTimeout is how long a member may be unreachable before
	// jobs that have tasks there fail.
	agentUnreachableTimeout = 3 * time.Second
	// memberRemovalTimeout is how long a member without tasks may be unreachable
	// before its record is removed. A live agent announces itself again.
	memberRemovalTimeout = 10 * time.Second
)

// handleTick sends due pings, checks members for timeouts and expires fences.
func (s *State) handleTick() {
	s.pool.Each(func(m *agent.Member) {
		if m.Linked {
			s.checkLinkedMember(m)
			return
		}
		s.checkUnlinkedMember(m)
	})
	for _, j := range s.fencingJobs() {
		if s.now >= j.fenceDeadline {
			s.expireFences(j)
		}
	}
}

// checkLinkedMember sends due pings to a linked member, and replaces a
// connection that has been silent for too long. After a long interruption, messages
// that arrived meanwhile are received first.
func (s *State) checkLinkedMember(m *agent.Member) {
	busy := len(m.OpenTasks) > 0 || s.awaitsFenceReport(m)
	if m.Released && !busy {
		s.removeMember(m)
		return
	}
	if busy && s.now >= s.interruption.holdUntil && m.PingUnansweredFor(s.now) > linkSilenceTimeout {
		s.emit(RecordCount{Count: SilentLink, Reason: reason.LinkSilent, Agent: m.Incarnation})
		s.emit(ResetLink{Agent: m.Incarnation, Session: m.Session})
		m.Linked = false
		m.LinkChangedAt = s.now
		return
	}
	if len(m.OpenTasks) > 0 && m.OrphanRunLimit > 0 && s.now-m.LastSentAt >= m.OrphanRunLimit/leasedBusyKeepalives {
		s.pendingMessage(m).Ping = true
		return
	}
	if s.now-max(m.LastPingAt, m.LastReceivedAt) >= s.pingInterval(m, busy) {
		s.pendingMessage(m).Ping = true
	}
}

// pingInterval returns the interval of pings to a member, by how recently it
// was used.
func (s *State) pingInterval(m *agent.Member, busy bool) time.Duration {
	sinceLastTask := s.now - m.LastTaskSentAt
	switch {
	case busy:
		return busyPingInterval
	case sinceLastTask < recentUseWindow && m.OrphanRunLimit > 0:
		return m.OrphanRunLimit / leasedRecentKeepalives
	case sinceLastTask < recentUseWindow:
		return recentPingInterval
	default:
		return idlePingInterval
	}
}

// checkUnlinkedMember applies the timeouts of a member without a link.
func (s *State) checkUnlinkedMember(m *agent.Member) {
	unreachableFor := s.now - m.LinkChangedAt
	if m.OrphanRunLimit > 0 {
		s.checkUnlinkedLeasedMember(m, unreachableFor)
		return
	}
	if unreachableFor > requestUnreachableTimeout {
		m.EachOpenTask(func(ref agent.TaskRef) {
			if j := s.jobs[Key{Team: ref.Team, ID: ref.Job}]; j.Repeatable {
				s.abandonTask(j, ref.Task, reason.AgentLost)
			}
		})
	}
	if unreachableFor > agentUnreachableTimeout {
		s.abandonTasks(m, reason.AgentLost)
	}
	if unreachableFor > memberRemovalTimeout && len(m.OpenTasks) == 0 {
		s.removeMember(m)
	}
}

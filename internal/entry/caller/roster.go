package caller

import (
	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// rosterMember is one agent incarnation on the roster.
type rosterMember struct {
	agent      *wirepb.RosterAgent
	firstWrite uint64 // number of the first roster write that includes it; 0 before that
}

// addToRoster adds a member to the roster. Claimed jobs may use the member once
// the roster is stored in the table, so that an entry that takes a job over can
// fence every agent that may have started its tasks. Members are never removed
// from the roster during a run of the entry.
func (s *State) addToRoster(m *agent.Member) {
	for _, known := range s.roster {
		if known.agent.Incarnation == m.Incarnation {
			m.RosterWrite = known.firstWrite
			return
		}
	}
	s.roster = append(s.roster, rosterMember{
		agent: &wirepb.RosterAgent{Incarnation: m.Incarnation, Address: m.Address},
	})
	s.rosterChanged = true
	s.writeRoster()
}

// writeRoster writes the roster if it has changed and no write is in flight.
func (s *State) writeRoster() {
	if s.rosterWriteInFlight || !s.rosterChanged {
		return
	}
	s.rosterWriteInFlight = true
	s.rosterChanged = false
	s.lastRosterWrite++
	agents := make([]*wirepb.RosterAgent, len(s.roster))
	for i := range s.roster {
		member := &s.roster[i]
		agents[i] = member.agent
		if member.firstWrite == 0 {
			member.firstWrite = s.lastRosterWrite
			s.setMemberRosterWrite(member)
		}
	}
	s.emit(WriteRoster{WriteNumber: s.lastRosterWrite, Agents: agents})
}

// setMemberRosterWrite copies the number of the first roster write that includes
// a member to the pool.
func (s *State) setMemberRosterWrite(member *rosterMember) {
	if m := s.pool.Get(member.agent.Incarnation); m != nil {
		m.RosterWrite = member.firstWrite
	}
}

func (s *State) handleRosterWritten(ev RosterWritten) {
	s.rosterWriteInFlight = false
	s.storedRosterWrite = max(s.storedRosterWrite, ev.WriteNumber)
	s.writeRoster()
}

package caller

import (
	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// listed is one agent incarnation of the roster.
type listed struct {
	agent *wirepb.RosterAgent
	write uint64 // the first roster write that names it, 0 before
}

// enlist puts a member on the roster. Claimed jobs may use it once the roster
// is in the table, so that whoever takes a job over knows whom to fence. A
// roster only grows during a run of the entry.
func (s *State) enlist(m *agent.Member) {
	for _, known := range s.roster {
		if known.agent.Incarnation == m.Incarnation {
			m.Roster = known.write
			return
		}
	}
	s.roster = append(s.roster, listed{
		agent: &wirepb.RosterAgent{Incarnation: m.Incarnation, Address: m.Address},
	})
	s.rosterStale = true
	s.writeRoster()
}

// writeRoster writes the roster unless a write is in flight.
func (s *State) writeRoster() {
	if s.rosterFlight || !s.rosterStale {
		return
	}
	s.rosterFlight = true
	s.rosterStale = false
	s.rosterWrite++
	agents := make([]*wirepb.RosterAgent, len(s.roster))
	for i := range s.roster {
		l := &s.roster[i]
		agents[i] = l.agent
		if l.write == 0 {
			l.write = s.rosterWrite
			s.listMember(l)
		}
	}
	s.do(WriteRoster{Write: s.rosterWrite, Agents: agents})
}

func (s *State) listMember(l *listed) {
	if m := s.pool.Get(l.agent.Incarnation); m != nil {
		m.Roster = l.write
	}
}

func (s *State) rosterWritten(ev RosterWritten) {
	s.rosterFlight = false
	s.rosterSafe = max(s.rosterSafe, ev.Write)
	s.writeRoster()
}

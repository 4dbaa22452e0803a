// Package caller is the entry's control state: what each caller is owed, and
// how it gets it.
//
// The state does no I/O and reads no clock, so that every decision can be
// replayed from the events that led to it.
package caller

import (
	"container/list"
	"fmt"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/settings/document"
)

// viewTTL is how long a proof that the configuration is current allows the
// entry to send starts.
const viewTTL = 2 * time.Second

// Options set the identity and the bounds of a State.
type Options struct {
	Incarnation     string
	MaxOpenJobs     int
	MaxQueuedTasks  int
	AnswerRetention time.Duration
}

// State is the control state of one entry. One goroutine owns it.
type State struct {
	opts      Options
	now       time.Duration
	jobs      map[Key]*job
	named     map[Key]*job // open repeatable jobs, by the caller's id
	open      int          // jobs that are not finished
	deadlines deadlines
	answers   *list.List // of *job, finished, oldest first
	queues    map[string]*serviceQueue
	teams     map[string]*team
	queued    int // tasks that wait for a place
	budgets   map[string]*budget
	fenced    map[Key]*job // jobs in take-over; fencing drops the others

	pool         *agent.Pool
	rosterWrite  uint64 // the latest write
	rosterSafe   uint64 // the latest write that is known to be in the table
	roster       []listed
	rosterStale  bool
	rosterFlight bool

	seq       uint64
	doc       document.Document
	confirmed time.Duration
	tableUp   bool
	entries   int
	stopping  bool
	dirty     []*agent.Member // members with a pending message
	out       []Action
}

// New returns the state of an entry that knows no agents yet.
func New(o Options) *State {
	return &State{
		opts:      o,
		jobs:      map[Key]*job{},
		named:     map[Key]*job{},
		answers:   list.New(),
		queues:    map[string]*serviceQueue{},
		teams:     map[string]*team{},
		budgets:   map[string]*budget{},
		fenced:    map[Key]*job{},
		pool:      agent.NewPool(),
		confirmed: -viewTTL - 1,
		entries:   1,
	}
}

// Step takes events in order at clock reading now and returns what is to be
// done. The clock is monotonic and counts from the start of the process.
func (s *State) Step(now time.Duration, events ...Event) []Action {
	s.now = now
	s.out = nil
	for _, ev := range events {
		s.take(ev)
	}
	s.expire()
	s.dispatch()
	s.flush()
	return s.out
}

// Idle reports whether every job has its answer.
func (s *State) Idle() bool { return s.open == 0 }

// Open returns the number of jobs without an answer.
func (s *State) Open() int { return s.open }

// Members returns the agents that the entry knows.
func (s *State) Members() []*agent.Member { return s.pool.All() }

func (s *State) take(ev Event) {
	switch ev := ev.(type) {
	case Submit:
		s.submit(ev)
	case Wait:
		s.wait(ev)
	case Peek:
		s.peek(ev)
	case Leave:
		s.leave(ev)
	case ClaimWritten:
		s.claimWritten(ev)
	case ClaimFound:
		s.claimFound(ev)
	case ClaimAbsent:
		s.claimAbsent(ev)
	case ClaimFailed:
		s.claimFailed(ev)
	case OwnerAnswered:
		s.ownerAnswered(ev)
	case OwnerGone:
		s.ownerGone(ev)
	case RostersRead:
		s.rostersRead(ev)
	default:
		s.takeOfAgents(ev)
	}
}

func (s *State) takeOfAgents(ev Event) {
	switch ev := ev.(type) {
	case RosterWritten:
		s.rosterWritten(ev)
	case Announced:
		s.announced(ev)
	case LinkUp:
		s.linkUp(ev)
	case LinkDown:
		s.linkDown(ev)
	case AgentSaid:
		s.agentSaid(ev)
	case Configured:
		s.configured(ev)
	case ViewConfirmed:
		s.confirmed = max(s.confirmed, ev.At)
	case TableState:
		s.tableUp = ev.Up
	case PingAll:
		s.pool.Each(func(m *agent.Member) {
			if m.Linked {
				s.message(m).Ping = true
			}
		})
	case EntryCount:
		s.entries = max(1, ev.Entries)
	case Stop:
		s.stopping = true
	case Tick:
		s.tick()
	}
}

// viewFresh reports whether the entry can vouch for its document.
func (s *State) viewFresh() bool { return s.now-s.confirmed <= viewTTL }

func (s *State) do(a Action) { s.out = append(s.out, a) }

func (s *State) count(what Count, why reason.Reason, key Key) {
	counted := Counted{What: what, Reason: why, Ref: agent.Ref{Team: key.Team, Job: key.ID}}
	if j := s.jobs[key]; j != nil {
		counted.Job = s.trace(j)
	}
	s.do(counted)
}

// nextSeq returns the next position among this entry's claims, with the token
// that marks a write made for it.
func (s *State) nextSeq() (seq uint64, token string) {
	s.seq++
	return s.seq, fmt.Sprintf("%s/%d", s.opts.Incarnation, s.seq)
}

// Usable returns the number of agents that jobs claimed now may use; none
// while claims or starts are held back.
func (s *State) Usable() int {
	if !s.tableUp || !s.viewFresh() {
		return 0
	}
	n := 0
	s.pool.Each(func(m *agent.Member) {
		if m.Linked && m.Open && m.Roster > 0 && m.Roster <= s.rosterSafe {
			n++
		}
	})
	return n
}

// Reachable returns the number of agents that take tasks now.
func (s *State) Reachable() int {
	n := 0
	s.pool.Each(func(m *agent.Member) {
		if m.Linked && m.Open {
			n++
		}
	})
	return n
}

// Size returns how many jobs and teams the state holds.
func (s *State) Size() int { return len(s.jobs) + len(s.teams) }

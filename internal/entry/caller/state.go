// Package caller is the control state of an entry. It decides which submitted
// jobs are admitted, to which agents their tasks are sent, and what answer each
// caller receives.
//
// The package does no I/O and reads no clock, so that every decision can be
// reproduced by replaying the events that led to it.
package caller

import (
	"container/list"
	"fmt"
	"time"

	"github.com/savorystair/savorystair/internal/entry/admission"
	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/settings/document"
)

// configConfirmationTTL is how long the entry may send starts after its
// configuration was confirmed to be current.
const configConfirmationTTL = 2 * time.Second

// Options set the identity and the limits of a State.
type Options struct {
	Incarnation     string
	MaxOpenJobs     int
	MaxQueuedTasks  int
	AnswerRetention time.Duration
}

// State is the control state of one entry. It is not safe for concurrent use:
// one goroutine calls all methods.
type State struct {
	opts           Options
	now            time.Duration
	jobs           map[Key]*job
	openByCallerID map[Key]*job    // repeatable jobs, by team and CallerJobID
	jobsByTicket   map[Ticket]*job // open jobs, by the tickets that wait for them
	openJobs       int             // jobs that are not finished
	deadlines      deadlines
	finishedJobs   *list.List // of *job, oldest first
	queues         map[string]*serviceQueue
	queuedServices []string // the keys of queues, in the order in which they were added
	teams          map[string]*team
	queuedTasks    int // tasks of all jobs that wait to be placed
	retryBudgets   map[string]*retryBudget
	crashes        crashRecords
	fencingByKey   map[Key]*job // see fencingJobs

	pool                *agent.Pool
	lastRosterWrite     uint64 // number of the latest roster write
	storedRosterWrite   uint64 // number of the latest one known to be in the table
	roster              []rosterMember
	rosterChanged       bool
	rosterWriteInFlight bool

	lastClaimSeq      uint64
	doc               document.Document
	configConfirmedAt time.Duration
	tableAvailable    bool
	liveEntries       int
	stopping          bool
	stopEndBy         time.Duration   // see Stop
	membersToMessage  []*agent.Member // members that have a PendingMessage
	actions           []Action
	interruption      interruption
	memberBuffer      []admission.Member  // reused by admitByRoom
	waitingBuffer     []admission.Job     // reused by waitingJobs
	runningBuffer     []admission.Running // reused by running
	rankedBuffer      []rankedJob         // reused by jobsByUrgency
	orderedBuffer     []*job              // reused by jobsByUrgency
}

// New returns the state of an entry that has no agents yet.
func New(o Options) *State {
	return &State{
		opts:              o,
		jobs:              map[Key]*job{},
		openByCallerID:    map[Key]*job{},
		jobsByTicket:      map[Ticket]*job{},
		finishedJobs:      list.New(),
		queues:            map[string]*serviceQueue{},
		teams:             map[string]*team{},
		retryBudgets:      map[string]*retryBudget{},
		fencingByKey:      map[Key]*job{},
		pool:              agent.NewPool(),
		configConfirmedAt: -configConfirmationTTL - 1,
		liveEntries:       1,
	}
}

// Step applies events in order at clock reading now and returns the actions
// that the caller of Step has to carry out. The clock is monotonic and counts
// from the start of the process.
func (s *State) Step(now time.Duration, events ...Event) []Action {
	s.now = now
	s.actions = nil
	for _, ev := range events {
		s.apply(ev)
	}
	s.expireJobs()
	s.failInterruptedJobs()
	s.dispatch()
	s.recordWon()
	s.sendPendingMessages()
	return s.actions
}

// Idle reports whether every job has been answered.
func (s *State) Idle() bool { return s.openJobs == 0 }

// OpenJobs returns the number of jobs that have not been answered.
func (s *State) OpenJobs() int { return s.openJobs }

// Members returns all agent incarnations that the entry has a record of.
func (s *State) Members() []*agent.Member { return s.pool.All() }

// apply handles one event.
func (s *State) apply(ev Event) {
	switch ev := ev.(type) {
	case Submit:
		s.handleSubmit(ev)
	case Await:
		s.handleAwait(ev)
	case Peek:
		s.handlePeek(ev)
	case Disconnected:
		s.handleDisconnected(ev)
	case ClaimWritten:
		s.handleClaimWritten(ev)
	case ClaimFound:
		s.handleClaimFound(ev)
	case ClaimAbsent:
		s.handleClaimAbsent(ev)
	case ClaimFailed:
		s.handleClaimFailed(ev)
	case OwnerAnswered:
		s.handleOwnerAnswered(ev)
	case OwnerGone:
		s.handleOwnerGone(ev)
	case RostersRead:
		s.handleRostersRead(ev)
	default:
		s.applyAgentEvent(ev)
	}
}

// applyAgentEvent handles the events that concern agents, the configuration and
// the entry as a whole.
func (s *State) applyAgentEvent(ev Event) {
	switch ev := ev.(type) {
	case RosterWritten:
		s.handleRosterWritten(ev)
	case AgentAnnounced:
		s.handleAgentAnnounced(ev)
	case LinkUp:
		s.handleLinkUp(ev)
	case LinkDown:
		s.handleLinkDown(ev)
	case AgentMessage:
		s.handleAgentMessage(ev)
	case ConfigurationLoaded:
		s.handleConfigurationLoaded(ev)
	case ViewConfirmed:
		s.configConfirmedAt = max(s.configConfirmedAt, ev.At)
	case TableAvailability:
		s.tableAvailable = ev.Available
	case Interrupted:
		s.handleInterrupted(ev)
	case PingAll:
		s.pool.Each(func(m *agent.Member) {
			if m.Linked {
				s.pendingMessage(m).Ping = true
			}
		})
	case EntryCount:
		s.liveEntries = max(1, ev.Entries)
	case Stop:
		s.stopping = true
		s.stopEndBy = ev.EndBy
	case AbortJobs:
		s.abortJobs()
	case Tick:
		s.handleTick()
	}
}

// configConfirmed reports whether the entry's configuration was confirmed to be
// current within configConfirmationTTL.
func (s *State) configConfirmed() bool { return s.now-s.configConfirmedAt <= configConfirmationTTL }

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// countJobEvent emits a RecordCount for an occurrence that concerns a whole job.
func (s *State) countJobEvent(kind Count, cause reason.Reason, key Key) {
	record := RecordCount{Count: kind, Reason: cause, Ref: agent.TaskRef{Team: key.Team, Job: key.ID}}
	if j := s.jobs[key]; j != nil {
		record.Job = s.traceOf(j)
	}
	s.emit(record)
}

// nextClaimSeq returns the sequence number of this entry's next claim, and the
// token that identifies the table write of that claim.
func (s *State) nextClaimSeq() (seq uint64, token string) {
	s.lastClaimSeq++
	return s.lastClaimSeq, fmt.Sprintf("%s/%d", s.opts.Incarnation, s.lastClaimSeq)
}

// UsableAgents returns the number of agents that newly claimed jobs may use. It
// is 0 while the table is unavailable, which prevents claims, or the
// configuration is not confirmed, which prevents starts.
func (s *State) UsableAgents() int {
	if !s.tableAvailable || !s.configConfirmed() {
		return 0
	}
	n := 0
	s.pool.Each(func(m *agent.Member) {
		if m.Linked && m.AcceptsStarts && m.RosterWrite > 0 && m.RosterWrite <= s.storedRosterWrite {
			n++
		}
	})
	return n
}

// ReachableAgents returns the number of agents that accept tasks now.
func (s *State) ReachableAgents() int {
	n := 0
	s.pool.Each(func(m *agent.Member) {
		if m.Linked && m.AcceptsStarts {
			n++
		}
	})
	return n
}

// Size returns the number of jobs, teams and waiting callers that the state has
// records of.
func (s *State) Size() int { return len(s.jobs) + len(s.teams) + len(s.jobsByTicket) }

// Package agent is what an entry knows of the agents: which there are, what
// each can take, how fast it is, and where the next task goes.
//
// It is part of the entry's control state: it does no I/O and reads no clock.
package agent

import (
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// Ref names one task of one job.
type Ref struct {
	Team string
	Job  string
	Task int
}

// Member is one incarnation of an agent.
type Member struct {
	ID          string
	Incarnation string
	Address     string
	Zone        string
	Service     string
	Kinds       []string
	MemoryMB    int
	Labels      []string
	// Info is what the agent last said of itself; nil for one that is known by
	// a roster only.
	Info *wirepb.AgentInfo
	// Capacity is what the endpoint has, zero if it counts slots only.
	Capacity resources.Resources
	// RunsOver is how long after the member was last heard its endpoint may
	// still run this entry's repeatable tasks; 0 means that it may for good.
	RunsOver time.Duration

	// Linked says that a link is open, and Since when that last changed.
	Linked bool
	Since  time.Duration
	// Open says that the agent takes starts, by its last message.
	Open bool
	// Out says that the configuration takes the agent out of service.
	Out bool
	// Roster is the roster write that made the member known to those who may
	// take over this entry's jobs; 0 while there is none.
	Roster uint64
	// Work holds the tasks sent to the member and not ended.
	Work map[Ref]struct{}

	// Stamp is the latest clock reading of the agent.
	Stamp int64
	// Heard, Pinged and Used are when the member last sent a message, was
	// last sent a ping, and was last sent a task.
	Heard  time.Duration
	Pinged time.Duration
	// Told is when the member was last sent anything.
	Told time.Duration
	Used time.Duration
	// asked is when the first ping was sent that is not answered.
	asked time.Duration
	// ConfigVersion is the version in force at the agent.
	ConfigVersion uint64
	// Pending is the message that the current step sends to the member.
	Pending *wirepb.ToAgent

	slots    int
	running  int
	queued   int
	yours    int // tasks of this entry, by the last report
	offered  int // starts that would be taken, by the last report
	reported time.Duration
	refusals int
	retryAt  time.Duration
	failures int    // jobs in a row of which a task failed
	failed   string // the last of them
	outUntil time.Duration
	runTimes estimates
}

// Sending notes that the pending message is sent.
func (m *Member) Sending(now time.Duration) {
	m.Told = now
	if !m.Pending.Ping {
		return
	}
	if m.asked <= m.Heard {
		m.asked = now
	}
	m.Pinged = now
}

// Silent returns how long the member has left a ping unanswered.
func (m *Member) Silent(now time.Duration) time.Duration {
	if m.asked <= m.Heard {
		return 0
	}
	return now - m.asked
}

// Slots returns how many tasks the endpoint takes at once.
func (m *Member) Slots() int { return m.slots }

// Running returns how many tasks the endpoint had, by the last report.
func (m *Member) Running() int { return m.running }

// Queued returns how many tasks the agent's queue had, by the last report.
func (m *Member) Queued() int { return m.queued }

// never is a clock reading long before every other.
const never = -24 * time.Hour

// Pool holds the members.
type Pool struct {
	members   map[string]*Member // by incarnation
	byService map[string][]*Member
	runTimes  map[string]*estimates // by service
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		members:   map[string]*Member{},
		byService: map[string][]*Member{},
		runTimes:  map[string]*estimates{},
	}
}

// Get returns the member with an incarnation, or nil.
func (p *Pool) Get(incarnation string) *Member { return p.members[incarnation] }

// All returns every member, by incarnation.
func (p *Pool) All() []*Member {
	all := make([]*Member, 0, len(p.members))
	for _, m := range p.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int {
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
	return all
}

// Each calls f for every member, in no order.
func (p *Pool) Each(f func(*Member)) {
	for _, m := range p.members {
		f(m)
	}
}

// Announce adds or updates a member by what the agent says of itself, and
// reports whether it is new.
func (p *Pool) Announce(now time.Duration, info *wirepb.AgentInfo) (m *Member, added bool) {
	m, added = p.Ensure(now, info.Incarnation, info.Address)
	p.setService(m, info.Service)
	m.Info = info
	m.ID = info.Id
	m.Zone = info.Zone
	m.Kinds = info.Kinds
	m.MemoryMB = int(info.MemoryMb)
	m.Labels = info.Labels
	m.Capacity = resources.Of(info.Capacity)
	m.RunsOver = time.Duration(info.RunsOverMs) * time.Millisecond
	m.slots = int(info.Slots)
	if added {
		m.offered = m.slots
	}
	return m, added
}

// Ensure returns the member with an incarnation, adding one that serves
// nothing if there is none.
func (p *Pool) Ensure(now time.Duration, incarnation, address string) (m *Member, added bool) {
	if m = p.members[incarnation]; m != nil {
		return m, false
	}
	m = &Member{
		Incarnation: incarnation,
		Address:     address,
		Since:       now,
		Used:        never,
		Work:        map[Ref]struct{}{},
	}
	p.members[incarnation] = m
	return m, true
}

// Remove forgets a member.
func (p *Pool) Remove(m *Member) {
	p.setService(m, "")
	delete(p.members, m.Incarnation)
}

func (p *Pool) setService(m *Member, service string) {
	if m.Service == service {
		return
	}
	p.byService[m.Service] = slices.DeleteFunc(p.byService[m.Service], func(o *Member) bool { return o == m })
	if len(p.byService[m.Service]) == 0 {
		delete(p.byService, m.Service)
	}
	m.Service = service
	if service != "" {
		p.byService[service] = append(p.byService[service], m)
	}
}

// Report takes the load that an agent sent.
func (p *Pool) Report(now time.Duration, m *Member, load *wirepb.Load) {
	m.slots = int(load.Slots)
	m.running = int(load.Running)
	m.queued = int(load.Queued)
	m.yours = int(load.Yours)
	m.offered = int(load.Room)
	m.reported = now
	m.Open = load.Open
	m.ConfigVersion = load.ConfigVersion
	if m.offered > 0 {
		m.retryAt = 0
	}
}

// Sent notes that a task was sent to a member.
func (p *Pool) Sent(now time.Duration, m *Member, ref Ref) {
	m.Work[ref] = struct{}{}
	m.Used = now
}

// Ended notes that a task sent to a member has ended, whatever its outcome.
func (p *Pool) Ended(m *Member, ref Ref) { delete(m.Work, ref) }

// Refused notes that a member refused a start, so that it is left alone for a
// while that doubles with each refusal in a row.
func (p *Pool) Refused(now time.Duration, m *Member) {
	delay := min(refusalDelay<<min(m.refusals, maxDoublings), maxRefusalDelay)
	m.refusals++
	m.retryAt = now + delay
}

// Failed notes that a task failed at a member after its start. A member that
// fails everything looks idle and fast, so that after failures of some jobs in
// a row it is sent one task at a time, after a time that doubles with each that
// fails. A job counts once, since the fault may be its own.
func (p *Pool) Failed(now time.Duration, m *Member, ref Ref) {
	job := ref.Team + "/" + ref.Job
	if m.failed == job {
		return
	}
	m.failed = job
	m.failures++
	if over := m.failures - failuresOut; over >= 0 {
		m.outUntil = now + min(failureDelay<<min(over, maxDoublings), maxFailureDelay)
	}
}

// Failing reports whether a member is out for failing everything.
func (m *Member) Failing() bool { return m.failures >= failuresOut }

// Ran notes how long a task that succeeded ran.
func (p *Pool) Ran(m *Member, kind string, took, declared time.Duration) {
	m.refusals = 0
	m.failures = 0
	m.failed = ""
	m.outUntil = 0
	m.runTimes.add(kind, took, declared)
	p.serviceTimes(m.Service).add(kind, took, declared)
}

func (p *Pool) serviceTimes(service string) *estimates {
	e := p.runTimes[service]
	if e == nil {
		e = &estimates{}
		p.runTimes[service] = e
	}
	return e
}

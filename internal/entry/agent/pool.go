// Package agent manages the agents that run an entry's tasks. Pool records the
// load and the measured run times of each agent and selects an agent for a task.
// Links keeps a connection to each agent and exchanges messages with it.
//
// Pool is part of the entry's control state: it does no I/O, and its methods
// get the current time as an argument. Links does the I/O.
package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/entry/fit"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// TaskRef identifies one task of one job.
type TaskRef struct {
	Team string
	Job  string
	Task int
}

// Member is one incarnation of an agent in a Pool.
type Member struct {
	ID          string
	Incarnation string
	Address     string
	Zone        string
	Service     string
	Kinds       []string
	MemoryMB    int
	Labels      []string
	// Endpoint is the number of the endpoint's incarnation that the description is
	// about.
	Endpoint uint64
	// undescribed reports whether the endpoint may have been replaced since the latest
	// description, by an agent that does not number endpoints.
	undescribed bool
	// Info is the agent's latest description of itself; nil for a member that
	// was read from a roster and has not described itself.
	Info *wirepb.AgentInfo
	// Capacity is the total resources of the endpoint; zero if only its slots
	// limit the tasks that it runs.
	Capacity resources.Resources
	// OrphanRunLimit is how long after the member's last message its endpoint
	// may still run repeatable tasks of this entry; 0 means without a limit.
	OrphanRunLimit time.Duration

	// Linked reports whether a link is open. LinkChangedAt is when that last
	// changed.
	Linked        bool
	LinkChangedAt time.Duration
	// Session is the number of the latest session of the link that was open.
	Session uint64
	// AcceptsStarts reports whether the agent accepts starts, by its latest load
	// report.
	AcceptsStarts bool
	// OutOfService reports whether the configuration takes the agent out of
	// service.
	OutOfService bool
	// Released reports whether the agent has selected other entries instead of
	// this one. Its link is closed once it holds no task of this entry.
	Released bool
	// RosterWrite is the number of the first roster write that lists the member;
	// 0 if none lists it yet. An entry that takes over this entry's jobs fences
	// the listed members.
	RosterWrite uint64
	// OpenTasks contains the tasks that were sent to the member and have not
	// ended.
	OpenTasks map[TaskRef]struct{}
	// Suspects contains those of the open tasks during whose earlier runs an
	// endpoint crashed.
	Suspects map[TaskRef]struct{}

	// Stamp is the latest reading of the agent's clock.
	Stamp int64
	// LastReceivedAt is when the latest message from the member arrived.
	LastReceivedAt time.Duration
	// LastPingAt is when the latest ping was sent to the member.
	LastPingAt time.Duration
	// LastSentAt is when the latest message was sent to the member.
	LastSentAt time.Duration
	// LastTaskSentAt is when the latest task was sent to the member.
	LastTaskSentAt time.Duration
	// unansweredPingAt is when the first ping after the member's latest message
	// was sent. If it isn't later than LastReceivedAt, no ping is unanswered.
	unansweredPingAt time.Duration
	// ConfigVersion is the configuration version in force at the agent.
	ConfigVersion uint64
	// PendingMessage is the message that the current step of the control state
	// will send to the member; nil if there is none.
	PendingMessage *wirepb.ToAgent

	// The following fields are the load that the agent's latest report contains.
	slots         int
	running       int
	queued        int
	reportedOwn   int // tasks of this entry among running and queued
	offeredStarts int // further starts that the agent accepts from this entry
	reportedAt    time.Duration
	reportedRatio float64             // run times divided by declared ones; 0 if not reported
	freeResources resources.Resources // not used by running and queued tasks, if Capacity is set

	// unreported is the sum of the needs of unreportedTasks, which were sent since and
	// are not included in the report.
	unreported      resources.Resources
	unreportedTasks int

	consecutiveRefusals   int
	retryAt               time.Duration // when the delay after the latest refusal ends
	consecutiveFailedJobs int           // jobs with a failed task since the latest success
	lastFailedJob         string        // the latest of these jobs, as team/job
	suspendedUntil        time.Duration
	runTimes              runTimeAverages
}

// EachOpenTask calls f for the open tasks of the member, ordered by job and task. It
// leaves out tasks that an earlier call of f has ended.
func (m *Member) EachOpenTask(f func(TaskRef)) {
	ordered := slices.SortedFunc(maps.Keys(m.OpenTasks), func(a, b TaskRef) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	for _, ref := range ordered {
		if _, open := m.OpenTasks[ref]; open {
			f(ref)
		}
	}
}

// RecordPendingSent records that the pending message is being sent.
func (m *Member) RecordPendingSent(now time.Duration) {
	m.LastSentAt = now
	if !m.PendingMessage.Ping {
		return
	}
	if m.unansweredPingAt <= m.LastReceivedAt {
		m.unansweredPingAt = now
	}
	m.LastPingAt = now
}

// PingUnansweredFor returns for how long a ping to the member has been
// unanswered; 0 if every ping was answered.
func (m *Member) PingUnansweredFor(now time.Duration) time.Duration {
	if m.unansweredPingAt <= m.LastReceivedAt {
		return 0
	}
	return now - m.unansweredPingAt
}

// Slots returns how many tasks the endpoint runs at once.
func (m *Member) Slots() int { return m.slots }

// Running returns how many tasks the endpoint was running at the latest report.
func (m *Member) Running() int { return m.running }

// Queued returns how many tasks were in the agent's queue at the latest report.
func (m *Member) Queued() int { return m.queued }

// beforeStart is the LastTaskSentAt of a member that was sent no task yet. It is
// so long before the entry's clock starts, at 0, that such a member never counts
// as recently used.
const beforeStart = -24 * time.Hour

// Pool contains the agents that an entry has a record of, as its members, and the
// run times measured on them.
type Pool struct {
	byIncarnation     map[string]*Member
	members           []*Member // the same members, in the order in which they were added
	byService         map[string][]*Member
	runTimesByService map[string]*runTimeAverages
	ratiosByLabel     map[labelKey]labelAverage

	// pickable and candidates are the members with room during a call of Pick.
	pickable   []*Member
	candidates []fit.Candidate
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		byIncarnation:     map[string]*Member{},
		byService:         map[string][]*Member{},
		runTimesByService: map[string]*runTimeAverages{},
		ratiosByLabel:     map[labelKey]labelAverage{},
	}
}

// Get returns the member with the given incarnation, or nil.
func (p *Pool) Get(incarnation string) *Member { return p.byIncarnation[incarnation] }

// All returns every member, sorted by incarnation.
func (p *Pool) All() []*Member {
	all := make([]*Member, 0, len(p.byIncarnation))
	for _, m := range p.byIncarnation {
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

// Each calls f for every member, in the order in which they were added. F may remove
// the member that it is called for.
func (p *Pool) Each(f func(*Member)) {
	for i := 0; i < len(p.members); {
		m := p.members[i]
		f(m)
		if i < len(p.members) && p.members[i] == m {
			i++
		}
	}
}

// AddOrUpdate adds or updates the member that info describes, and reports whether
// it was added. A description of an earlier incarnation of the endpoint than the one
// on record is ignored: calls and links may deliver descriptions out of order.
func (p *Pool) AddOrUpdate(now time.Duration, info *wirepb.AgentInfo) (m *Member, added bool) {
	m, added = p.GetOrAdd(now, info.Incarnation, info.Address)
	if info.Endpoint < m.Endpoint {
		return m, added
	}
	if info.Endpoint > m.Endpoint {
		m.forgetMeasurements()
	}
	m.Endpoint = info.Endpoint
	m.undescribed = false
	p.setService(m, info.Service)
	m.Info = info
	m.ID = info.Id
	m.Zone = info.Zone
	m.Kinds = info.Kinds
	m.MemoryMB = int(info.MemoryMb)
	m.Labels = info.Labels
	m.Capacity = resources.FromWire(info.Capacity)
	m.OrphanRunLimit = time.Duration(info.RunsOverMs) * time.Millisecond
	m.slots = int(info.Slots)
	if added {
		m.offeredStarts = m.slots
	}
	return m, added
}

// GetOrAdd returns the member with the given incarnation. If there is none, it
// adds one without a service, which is never picked for a task.
func (p *Pool) GetOrAdd(now time.Duration, incarnation, address string) (m *Member, added bool) {
	if m = p.byIncarnation[incarnation]; m != nil {
		return m, false
	}
	m = &Member{
		Incarnation:    incarnation,
		Address:        address,
		LinkChangedAt:  now,
		LastTaskSentAt: beforeStart,
		OpenTasks:      map[TaskRef]struct{}{},
		Suspects:       map[TaskRef]struct{}{},
	}
	p.byIncarnation[incarnation] = m
	p.members = append(p.members, m)
	return m, true
}

// Remove removes a member from the pool.
func (p *Pool) Remove(m *Member) {
	p.setService(m, "")
	delete(p.byIncarnation, m.Incarnation)
	p.members = slices.DeleteFunc(p.members, func(other *Member) bool { return other == m })
}

// setService changes the service of a member and updates the index by service.
func (p *Pool) setService(m *Member, service string) {
	if m.Service == service {
		return
	}
	p.byService[m.Service] = slices.DeleteFunc(p.byService[m.Service], func(other *Member) bool { return other == m })
	if len(p.byService[m.Service]) == 0 {
		delete(p.byService, m.Service)
	}
	m.Service = service
	if service != "" {
		p.byService[service] = append(p.byService[service], m)
	}
}

// UpdateLoad updates a member from a load report of its agent. A report that
// offers starts ends the delay after a refusal early. The member accepts no starts
// while the report and its description are about different incarnations of the
// endpoint.
func (p *Pool) UpdateLoad(now time.Duration, m *Member, load *wirepb.Load) {
	m.slots = int(load.Slots)
	m.running = int(load.Running)
	m.queued = int(load.Queued)
	m.reportedOwn = int(load.Yours)
	m.offeredStarts = int(load.Room)
	m.reportedAt = now
	m.dropReported(len(m.OpenTasks) - m.reportedOwn)
	m.reportedRatio = float64(load.RunTimeRatio)
	m.freeResources = resources.FromWire(load.Free)
	m.AcceptsStarts = load.Open && load.Endpoint == m.Endpoint
	m.undescribed = m.undescribed || m.Endpoint == 0 && !load.Open
	m.Released = load.Released
	m.ConfigVersion = load.ConfigVersion
	if m.offeredStarts > 0 {
		m.retryAt = 0
	}
}

// dropReported reduces the tasks that the latest report does not include to the given
// number. Which ones it includes is not known, so their mean need is kept.
func (m *Member) dropReported(left int) {
	if left <= 0 {
		m.unreported, m.unreportedTasks = resources.Resources{}, 0
		return
	}
	if left < m.unreportedTasks {
		m.unreported.CPUMilli = m.unreported.CPUMilli * left / m.unreportedTasks
		m.unreported.MemoryMB = m.unreported.MemoryMB * left / m.unreportedTasks
		m.unreported.GPUs = m.unreported.GPUs * left / m.unreportedTasks
		m.unreportedTasks = left
	}
}

// RecordTaskSent records that a task with the given need was sent to a member.
func (p *Pool) RecordTaskSent(now time.Duration, m *Member, ref TaskRef, need resources.Resources) {
	m.OpenTasks[ref] = struct{}{}
	m.unreported = m.unreported.With(need)
	m.unreportedTasks++
	m.LastTaskSentAt = now
}

// RecordTaskEnded records that a task sent to a member has ended, with any
// outcome.
func (p *Pool) RecordTaskEnded(m *Member, ref TaskRef) {
	delete(m.OpenTasks, ref)
	delete(m.Suspects, ref)
}

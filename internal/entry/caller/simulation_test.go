package caller_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"time"

	agententry "github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/document"
	"github.com/savorystair/savorystair/internal/task/resources"
)

const (
	ms = time.Millisecond
	// tickInterval is the interval of Tick events to every process.
	tickInterval = 25 * ms
	// minInterruption is the time between two steps from which on an entry is informed
	// that it was interrupted, as in internal/entry/host.
	minInterruption = 200 * ms
	// zoneGrace is how long tasks may still start in a zone after the edit that
	// takes it out of service.
	zoneGrace = 3 * time.Second
)

// simulation runs the real control states of entries and agents on a virtual
// clock, against simulated links, endpoints, callers and a simulated table. As
// a reference, it counts every start of every task.
type simulation struct {
	rng                *rand.Rand
	now                time.Duration
	queue              timeline
	lastSequenceNumber int // of the latest timeline item or link; also distinguishes incarnations
	entries            []*simEntry
	agents             []*simAgent
	claimRows          map[caller.Key]simRow
	rosters            map[string][]*wirepb.RosterAgent
	tableDown          bool
	responsesToLose    int // number of claim writes whose response is still to be lost
	doc                document.Document
	zoneOutSince       map[string]time.Duration
	startCounts        map[string]int // by team/job/task, of claimed jobs
	jobs               []*simJob
	ownerQueries       []*ownerQuery
	violations         []string // broken invariants, as texts
	// noFence makes fences ineffective: agents answer them, but accept later
	// starts of earlier generations. skippedFences holds the generation of the
	// latest such fence of each job.
	noFence bool
	// leased gives agents endpoints whose runs end when a lease lapses.
	// runCounts counts the concurrent runs of each task there.
	leased        bool
	noSilenceStop bool // agents don't stop the runs of silent entries
	submitsTwice  bool // callers submit repeatable jobs by deliverTwice
	anySession    bool // messages to agents are sent in the open session, also if another is named
	runCounts     map[string]int
	crashes       simCrashes
	firstStarts   map[string]time.Duration // first start, by submission
	// runTime is the time of each leased run; 0 means random times.
	runTime       time.Duration
	suspends      bool             // whether frozen entries learn of disconnections by retransmissions
	hidesArrival  bool             // whether entries take unread submissions for new
	connections   []*simConnection // of the callers of repeatable jobs
	skippedFences map[string]uint64
	recording     *recording // nil unless the steps are recorded
	load          *load      // nil unless the simulation measures a load
}

// simRow is a claim row of the simulated table.
type simRow struct {
	version uint64
	claim   *wirepb.ClaimRow
}

// proc is the common part of entries and agents. Events and actions that arise
// during a pause are deferred to its end.
type proc struct {
	inc       string // incarnation
	startedAt time.Duration
	alive     bool
	paused    bool
	deferred  []func()
}

// simEntry is a simulated entry process.
type simEntry struct {
	proc
	index      int
	zone       string
	state      *caller.State
	links      map[string]*simLink // by agent incarnation
	lastTicket caller.Ticket
	waiters    map[caller.Ticket]func(a caller.Answer, known bool)
	// pauseAfterStep, if set, pauses the entry between its next step and the
	// actions of that step.
	pauseAfterStep time.Duration
	lastStep       time.Duration // on the entry's clock
	// frozen reports whether the entry learns late who has disconnected during its
	// pauses.
	frozen bool
	// lateness is how long events wait in the queue of the control state, which handles
	// them in order. latestDue is when the latest one of them is handled.
	lateness  time.Duration
	latestDue time.Duration
	// claimReadAt is when the entry last read the claim of a job.
	claimReadAt map[caller.Key]time.Duration
}

type simAgent struct {
	proc
	index int
	zone  string
	state *agententry.State
	links map[uint64]*simLink
	speed float64 // divides the run times of tasks
	// capacity is what the endpoint has of resources; zero if it counts slots.
	capacity resources.Resources
	// endpoint is kept when the agent restarts. A new incarnation is ready once
	// it has stopped the runs that the previous one left there.
	endpoint simEndpoint
	ready    bool
	// endpointNumber numbers the incarnations of the endpoint for the agent's incarnation.
	endpointNumber uint64
}

// simLink is one connection. A cut connection drops all messages without
// closing.
type simLink struct {
	id        uint64
	entry     *simEntry
	agent     *simAgent
	up        bool
	cut       bool
	toAgentAt time.Duration // arrival of the latest message to the agent
	toEntryAt time.Duration // arrival of the latest message to the entry
	described uint64        // number of the endpoint that the agent has described over the link
}

type simJob struct {
	job             caller.Job
	answers         []caller.Answer
	openSubmissions int
	// startedAt is when the first task was started, or -1.
	startedAt time.Duration
}

// ownerQuery is a pending request of an entry for the answer of a job that
// another entry owns.
type ownerQuery struct {
	target *simEntry
	gone   func()
	done   bool
}

// timelineItem is a function that runs at a time. Items at the same time run in
// order of creation.
type timelineItem struct {
	at    time.Duration
	order int
	do    func()
}

type timeline []timelineItem

func (q timeline) Len() int { return len(q) }
func (q timeline) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q timeline) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timeline) Push(x any)   { *q = append(*q, x.(timelineItem)) }
func (q *timeline) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, entries, agents int) *simulation {
	sim := &simulation{
		rng:           rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		claimRows:     map[caller.Key]simRow{},
		rosters:       map[string][]*wirepb.RosterAgent{},
		zoneOutSince:  map[string]time.Duration{},
		startCounts:   map[string]int{},
		skippedFences: map[string]uint64{},
		runCounts:     map[string]int{},
		firstStarts:   map[string]time.Duration{},
	}
	for i := range entries {
		e := &simEntry{index: i}
		sim.entries = append(sim.entries, e)
		sim.startEntry(e)
	}
	for i := range agents {
		a := &simAgent{index: i, zone: string(rune('a' + i%3)), speed: 0.5 + sim.rng.Float64()*2}
		sim.agents = append(sim.agents, a)
		sim.startAgent(a)
	}
	return sim
}

// after schedules do to run after d.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.lastSequenceNumber++
	heap.Push(&sim.queue, timelineItem{at: sim.now + d, order: sim.lastSequenceNumber, do: do})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		item := heap.Pop(&sim.queue).(timelineItem)
		sim.now = item.at
		item.do()
	}
	sim.now = until
}

func (sim *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)))
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("at %s: ", sim.now)+fmt.Sprintf(format, args...))
}

func (sim *simulation) startEntry(e *simEntry) {
	e.pauseAfterStep = 0
	e.lastStep = 0
	e.lateness, e.latestDue = 0, -1
	e.proc = proc{inc: fmt.Sprintf("e%d.%d", e.index, sim.lastSequenceNumber), startedAt: sim.now, alive: true}
	e.links = map[string]*simLink{}
	e.waiters = map[caller.Ticket]func(caller.Answer, bool){}
	e.claimReadAt = map[caller.Key]time.Duration{}
	e.state = newSimEntryState(e.inc)
	inc := e.inc
	sim.every(tickInterval, func() bool { sim.deliverToEntry(e, inc, caller.Tick{}); return e.inc == inc && e.alive })
	sim.every(300*ms, func() bool { sim.pollConfiguration(e, inc); return e.inc == inc && e.alive })
}

func newSimEntryState(inc string) *caller.State {
	return caller.New(caller.Options{Incarnation: inc, MaxOpenJobs: 1000, MaxQueuedTasks: 10000, AnswerRetention: 2 * time.Second})
}

// every calls do at intervals of d, with a random phase, until it returns
// false.
func (sim *simulation) every(d time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			sim.after(d, again)
		}
	}
	sim.after(sim.randomDuration(0, d), again)
}

// pollConfiguration simulates a read of the configuration's version in the
// table. While the table is down, the version counts as confirmed if all
// entries can be asked for theirs.
func (sim *simulation) pollConfiguration(e *simEntry, inc string) {
	if e.paused || e.inc != inc {
		return
	}
	began := sim.now - e.startedAt
	doc := sim.doc
	confirmed := !sim.tableDown || sim.allEntriesResponsive()
	sim.after(sim.randomDuration(2*ms, 20*ms), func() {
		sim.deliverToEntry(e, inc, caller.TableAvailability{Available: !sim.tableDown})
		if confirmed {
			sim.deliverToEntry(e, inc, caller.ConfigurationLoaded{Document: doc})
			sim.deliverToEntry(e, inc, caller.ViewConfirmed{At: began})
		}
	})
}

// allEntriesResponsive reports whether no live entry is paused, so that each
// would report its configuration version.
func (sim *simulation) allEntriesResponsive() bool {
	for _, e := range sim.entries {
		if e.alive && e.paused {
			return false
		}
	}
	return true
}

// deliverToEntry queues an event for the control state of one incarnation of an
// entry. Ticks don't wait for other events.
func (sim *simulation) deliverToEntry(e *simEntry, inc string, ev caller.Event) {
	if _, isTick := ev.(caller.Tick); e.inc != inc || isTick || e.lateness == 0 && e.latestDue < sim.now {
		sim.stepEntry(e, inc, ev)
		return
	}
	e.latestDue = max(e.latestDue, sim.now+e.lateness)
	sim.after(e.latestDue-sim.now, func() { sim.stepEntry(e, inc, ev) })
}

// stepEntry makes the control state of one incarnation of an entry handle an event.
// During a pause, events are deferred and ticks are dropped.
func (sim *simulation) stepEntry(e *simEntry, inc string, ev caller.Event) {
	if e.inc != inc || !e.alive {
		return
	}
	if e.paused {
		if _, isTick := ev.(caller.Tick); !isTick {
			e.deferred = append(e.deferred, func() { sim.stepEntry(e, inc, ev) })
		}
		return
	}
	now := sim.now - e.startedAt
	if since := e.lastStep; now-since >= minInterruption {
		e.lastStep = now
		sim.stepEntry(e, inc, caller.Interrupted{Since: since})
		sim.stepEntry(e, inc, ev)
		return
	}
	e.lastStep = now
	acts := e.state.Step(now, ev)
	sim.recording.recordEntryStep(inc, now, ev, acts)
	do := func() {
		for _, act := range acts {
			sim.performEntryAction(e, inc, act)
		}
	}
	if e.pauseAfterStep > 0 && len(acts) > 0 {
		sim.pause(&e.proc, e.pauseAfterStep)
		e.pauseAfterStep = 0
		e.deferred = append(e.deferred, do)
		return
	}
	do()
}

// sendToEntry sends a message from an agent over a link. With noFence, it turns
// fence reports into the ones that a fenced agent would send.
func (sim *simulation) sendToEntry(l *simLink, inc string, msg *wirepb.FromAgent) {
	e, entryInc := l.entry, l.entry.inc
	if sim.noFence {
		for _, r := range msg.Reports {
			r.Generation = sim.skippedFences[r.JobId]
			r.Superseded = false
		}
	}
	l.toEntryAt = max(l.toEntryAt, sim.now+sim.randomDuration(1*ms, 8*ms))
	sim.after(l.toEntryAt-sim.now, func() {
		if l.up && !l.cut {
			sim.deliverToEntry(e, entryInc, caller.AgentMessage{Agent: inc, Msg: msg})
		}
	})
}

func (sim *simulation) sendToAgent(l *simLink, inc string, msg *wirepb.ToAgent) {
	l.toAgentAt = max(l.toAgentAt, sim.now+sim.randomDuration(1*ms, 8*ms))
	sim.after(l.toAgentAt-sim.now, func() {
		if l.up && !l.cut {
			sim.receiveFromEntry(l, inc, msg)
		}
	})
}

// receiveFromEntry delivers a message to an agent. With noFence, a fence has
// generation 0, so that the agent reports what it has started but doesn't
// refuse later starts.
func (sim *simulation) receiveFromEntry(l *simLink, inc string, msg *wirepb.ToAgent) {
	if sim.noFence {
		for _, f := range msg.Fences {
			sim.skippedFences[f.Job.JobId] = f.Job.Generation
			f.Job.Generation = 0
		}
	}
	sim.deliverToAgent(l.agent, inc, agententry.MessageReceived{Link: l.id, Msg: msg})
}

func digest(text string) [32]byte { return sha256.Sum256([]byte(text)) }

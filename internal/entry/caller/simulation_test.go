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
)

const (
	ms = time.Millisecond
	// tick is how often time passes for every process.
	tick = 25 * ms
	// zoneGrace is how long after an edit tasks may still start in a zone
	// that it takes out of service.
	zoneGrace = 3 * time.Second
)

// world is fakes for what lies around the control states, on a virtual clock:
// a table, links that lose messages, endpoints, and callers. It keeps the
// naive reference, one table of every start.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	queue    timeline
	order    int
	entries  []*simEntry
	agents   []*simAgent
	rows     map[caller.Key]simRow
	rosters  map[string][]*wirepb.RosterAgent
	down     bool
	lose     int
	doc      document.Document
	outSince map[string]time.Duration
	starts   map[string]int // by team/job/task, of claimed jobs
	jobs     []*simJob
	asks     []*ask
	faults   []string // violations
	// noFence leaves out what a fence does at the agent; fenced then holds the
	// generation of each fence that was left out.
	noFence bool
	// leased gives agents endpoints whose runs hold a lease; running counts the
	// runs of each task that are there.
	leased  bool
	keepAll bool // leaves out that agents stop the runs of silent entries
	running map[string]int
	began   map[string]time.Duration // first start, by submission
	fenced  map[string]uint64
}

type simRow struct {
	version uint64
	claim   *wirepb.ClaimRow
}

// proc is what entries and agents have in common.
type proc struct {
	inc    string
	born   time.Duration
	alive  bool
	paused bool
	held   []func()
}

// simEntry is an entry. A paused one may hold the actions of its last step.
type simEntry struct {
	proc
	index int
	state *caller.State
	links map[string]*simLink // by agent incarnation
	last  caller.Ticket
	wait  map[caller.Ticket]func(a caller.Answer, known bool)
	// stall pauses the entry between its next decision and what follows
	// from it.
	stall time.Duration
	// looked is when the entry last looked up a job's claim.
	looked map[caller.Key]time.Duration
}

type simAgent struct {
	proc
	index int
	zone  string
	state *agententry.State
	links map[uint64]*simLink
	speed float64
	// endpoint outlives the agent. The agent isn't ready before it has stopped
	// what the one before left there.
	endpoint simEndpoint
	ready    bool
}

// simLink is one connection. Cut ones lose every message without a sign.
type simLink struct {
	id    uint64
	entry *simEntry
	agent *simAgent
	up    bool
	cut   bool
	toA   time.Duration // when the last message arrives
	toE   time.Duration
}

type simJob struct {
	job     caller.Job
	answers []caller.Answer
	open    int
	// started is when the first task was started, -1 before.
	started time.Duration
}

type ask struct {
	target *simEntry
	gone   func()
	done   bool
}

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

func newWorld(seed uint64, entries, agents int) *world {
	w := &world{
		rng:      rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		rows:     map[caller.Key]simRow{},
		rosters:  map[string][]*wirepb.RosterAgent{},
		outSince: map[string]time.Duration{},
		starts:   map[string]int{},
		fenced:   map[string]uint64{},
		running:  map[string]int{},
		began:    map[string]time.Duration{},
	}
	for i := range entries {
		e := &simEntry{index: i}
		w.entries = append(w.entries, e)
		w.bootEntry(e)
	}
	for i := range agents {
		a := &simAgent{index: i, zone: string(rune('a' + i%3)), speed: 0.5 + w.rng.Float64()*2}
		w.agents = append(w.agents, a)
		w.bootAgent(a)
	}
	return w
}

func (w *world) at(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, timelineItem{at: w.now + d, order: w.order, do: do})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		item := heap.Pop(&w.queue).(timelineItem)
		w.now = item.at
		item.do()
	}
	w.now = until
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("at %s: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) bootEntry(e *simEntry) {
	e.stall = 0
	e.proc = proc{inc: fmt.Sprintf("e%d.%d", e.index, w.order), born: w.now, alive: true}
	e.links = map[string]*simLink{}
	e.wait = map[caller.Ticket]func(caller.Answer, bool){}
	e.looked = map[caller.Key]time.Duration{}
	e.state = caller.New(caller.Options{Incarnation: e.inc, MaxOpenJobs: 1000, MaxQueuedTasks: 10000, AnswerRetention: 2 * time.Second})
	inc := e.inc
	w.every(tick, func() bool { w.toEntry(e, inc, caller.Tick{}); return e.inc == inc && e.alive })
	w.every(300*ms, func() bool { w.poll(e, inc); return e.inc == inc && e.alive })
}

func (w *world) bootAgent(a *simAgent) {
	a.proc = proc{inc: fmt.Sprintf("a%d.%d", a.index, w.order), born: w.now, alive: true}
	a.links = map[uint64]*simLink{}
	a.state = agententry.New(agententry.Options{
		Incarnation:  a.inc,
		QueuePerSlot: 1,
		Ledger:       agententry.LedgerOptions{Jobs: 1000, ResultBytes: 1 << 20, Retention: time.Minute},
		EntrySilence: w.silence(),
	})
	inc := a.inc
	a.ready = !w.leased
	if w.leased {
		w.bootEndpoint(a)
	} else {
		w.toAgent(a, inc, agententry.EndpointChanged{Endpoint: agententry.Endpoint{Slots: 2, Open: true}})
	}
	w.every(tick, func() bool { w.toAgent(a, inc, agententry.Tick{}); return a.inc == inc && a.alive })
	w.every(500*ms, func() bool { w.announce(a, inc); return a.inc == inc && a.alive })
}

func (w *world) every(d time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			w.at(d, again)
		}
	}
	w.at(w.between(0, d), again)
}

// poll stands for reading the version row.
func (w *world) poll(e *simEntry, inc string) {
	if e.paused || e.inc != inc {
		return
	}
	began := w.now - e.born
	doc := w.doc
	confirmed := !w.down || w.allReachable()
	w.at(w.between(2*ms, 20*ms), func() {
		w.toEntry(e, inc, caller.TableState{Up: !w.down})
		if confirmed {
			w.toEntry(e, inc, caller.Configured{Document: doc})
			w.toEntry(e, inc, caller.ViewConfirmed{At: began})
		}
	})
}

// allReachable reports whether every entry would answer for its document.
func (w *world) allReachable() bool {
	for _, e := range w.entries {
		if e.alive && e.paused {
			return false
		}
	}
	return true
}

func (w *world) announce(a *simAgent, inc string) {
	if a.paused || a.inc != inc || !a.ready {
		return
	}
	info := a.info()
	for _, e := range w.entries {
		if l := e.links[inc]; l == nil || !l.up {
			w.toEntry(e, e.inc, caller.Announced{Info: info})
		}
	}
}

func (a *simAgent) info() *wirepb.AgentInfo {
	return &wirepb.AgentInfo{
		Id: fmt.Sprintf("a%d", a.index), Incarnation: a.inc, Address: fmt.Sprintf("a%d", a.index),
		Zone: a.zone, Service: "s", Slots: 2, RunsOverMs: a.endpoint.runsOver,
	}
}

// toEntry delivers an event to one run of an entry, now or after its pause.
func (w *world) toEntry(e *simEntry, inc string, ev caller.Event) {
	if e.inc != inc || !e.alive {
		return
	}
	if e.paused {
		if _, isTick := ev.(caller.Tick); !isTick {
			e.held = append(e.held, func() { w.toEntry(e, inc, ev) })
		}
		return
	}
	acts := e.state.Step(w.now-e.born, ev)
	do := func() {
		for _, act := range acts {
			w.doEntry(e, inc, act)
		}
	}
	if e.stall > 0 && len(acts) > 0 {
		w.pause(&e.proc, e.stall)
		e.stall = 0
		e.held = append(e.held, do)
		return
	}
	do()
}

func (w *world) toAgent(a *simAgent, inc string, ev agententry.Event) {
	if a.inc != inc || !a.alive {
		return
	}
	if a.paused {
		if _, isTick := ev.(agententry.Tick); !isTick {
			a.held = append(a.held, func() { w.toAgent(a, inc, ev) })
		}
		return
	}
	for _, act := range a.state.Step(w.now-a.born+1, ev) {
		w.doAgent(a, inc, act)
	}
}

func (w *world) doAgent(a *simAgent, inc string, act agententry.Action) {
	switch act := act.(type) {
	case agententry.Send:
		if l := a.links[act.Link]; l != nil {
			w.carryToEntry(l, inc, act.Msg)
		}
	case agententry.Run:
		if act.Name != "" {
			w.beginRun(a, inc, act)
			return
		}
		w.started(a, act)
		took := time.Duration(float64(w.between(5*ms, 400*ms)) / a.speed)
		w.at(took, func() {
			w.toAgent(a, inc, agententry.TaskEnded{Ref: act.Ref, Result: act.Payload, Took: took})
		})
	case agententry.Abort:
		w.stopRun(a, inc, act.Ref)
	case agententry.Refused:
	}
}

// started is the reference: it counts every start and checks the zone.
func (w *world) started(a *simAgent, act agententry.Run) {
	if act.Ref.Job[0] != '~' {
		name := fmt.Sprintf("%s/%s/%d", act.Ref.Team, act.Ref.Job, act.Ref.Task)
		w.starts[name]++
		w.noteStart(act.Ref.Job)
		if w.starts[name] > 1 {
			w.fault("task %s started %d times", name, w.starts[name])
		}
	}
	if since, out := w.outSince[a.zone]; out && w.now > since+zoneGrace {
		w.fault("task started in zone %s, which is out since %s", a.zone, since)
	}
}

func (w *world) noteStart(id string) {
	for _, j := range w.jobs {
		if j.job.ID == id && j.started < 0 {
			j.started = w.now
		}
	}
}

func (w *world) carryToEntry(l *simLink, inc string, msg *wirepb.FromAgent) {
	e, einc := l.entry, l.entry.inc
	if w.noFence {
		for _, r := range msg.Reports {
			r.Generation = w.fenced[r.JobId]
			r.Superseded = false
		}
	}
	l.toE = max(l.toE, w.now+w.between(1*ms, 8*ms))
	w.at(l.toE-w.now, func() {
		if l.up && !l.cut {
			w.toEntry(e, einc, caller.AgentSaid{Agent: inc, Msg: msg})
		}
	})
}

func (w *world) carryToAgent(l *simLink, inc string, msg *wirepb.ToAgent) {
	l.toA = max(l.toA, w.now+w.between(1*ms, 8*ms))
	w.at(l.toA-w.now, func() {
		if l.up && !l.cut {
			w.receive(l, inc, msg)
		}
	})
}

// receive hands a message to an agent. With noFence, a fence tells what was
// started and changes nothing.
func (w *world) receive(l *simLink, inc string, msg *wirepb.ToAgent) {
	if w.noFence {
		for _, f := range msg.Fences {
			w.fenced[f.Job.JobId] = f.Job.Generation
			f.Job.Generation = 0
		}
	}
	w.toAgent(l.agent, inc, agententry.Received{Link: l.id, Msg: msg})
}

func digest(text string) [32]byte { return sha256.Sum256([]byte(text)) }

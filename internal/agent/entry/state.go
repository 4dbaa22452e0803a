// Package entry is the agent's control state towards the entries: the start
// ledger, the fences, the queue before the endpoint's slots, and the view of
// the configuration that lets tasks start.
//
// The state does no I/O and reads no clock, so that every decision can be
// replayed from the events that led to it.
package entry

import (
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

const (
	// viewTTL is how long a proof that the configuration is current allows
	// starts.
	viewTTL = 2 * time.Second
	// probeInterval is the least time between two requests for such a proof.
	probeInterval = 100 * time.Millisecond
	// holdTimeout is how long a task waits for a proof before it is refused.
	holdTimeout = time.Second
)

// Options set the bounds of a State.
type Options struct {
	Incarnation string
	// QueuePerSlot is the length of the queue for each slot.
	QueuePerSlot float64
	Ledger       LedgerOptions
	// EntrySilence is how long an entry may stay silent before its repeatable
	// tasks are stopped; 0 means that they never are.
	EntrySilence time.Duration
}

// State is the control state of one agent. One goroutine owns it.
type State struct {
	opts     Options
	ledger   *ledger
	queue    []*record
	running  int
	runs     map[*record]struct{} // those in the endpoint
	used     resources.Resources  // by the running tasks
	usual    float64              // processor that a task takes, in thousandths, moving average
	echoes   map[string]time.Duration
	endpoint Endpoint
	stopping bool
	view     view
	links    map[uint64]*link
	byEntry  map[string]*link
	starved  []*link // links whose starts found no room, next to be told first
	out      []Action
	probed   time.Duration
}

// Endpoint is what the agent knows of the endpoint beside it. The zero value
// is an endpoint that has not announced itself.
type Endpoint struct {
	Slots int
	Open  bool
	// Capacity bounds what the tasks of an endpoint take together; zero means
	// that only slots count.
	Capacity resources.Resources
}

// link is one open link of an entry.
type link struct {
	id    uint64
	entry string
	// pending is the message that the current step sends, if any.
	pending *wirepb.FromAgent
	// wanted counts the starts that were refused for want of room since the
	// entry was last offered some.
	wanted int
	// offered is the room that is kept for the entry, until a time.
	offered int
	until   time.Duration
	// used is when the entry last sent a start.
	used time.Duration
	// open counts the entry's queued and running tasks.
	open int
}

// New returns the state of an agent whose endpoint has not announced itself.
func New(o Options) *State {
	return &State{
		opts:    o,
		ledger:  newLedger(o.Ledger),
		runs:    map[*record]struct{}{},
		echoes:  map[string]time.Duration{},
		links:   map[uint64]*link{},
		byEntry: map[string]*link{},
		view:    view{confirmed: never},
		probed:  never,
	}
}

// Step takes events in order at clock reading now and returns what is to be
// done. The clock is monotonic and counts from the start of the process.
func (s *State) Step(now time.Duration, events ...Event) []Action {
	s.out = nil
	for _, ev := range events {
		s.take(now, ev)
	}
	s.stopSilent(now)
	s.pump(now)
	s.offer(now)
	s.ledger.expire(now)
	s.flush(now)
	return s.out
}

// Idle reports whether no task is queued or running.
func (s *State) Idle() bool { return s.running == 0 && len(s.queue) == 0 }

// Running returns the number of tasks in the endpoint.
func (s *State) Running() int { return s.running }

func (s *State) take(now time.Duration, ev Event) {
	switch ev := ev.(type) {
	case LinkOpened:
		s.openLink(ev)
	case LinkClosed:
		s.closeLink(ev)
	case Received:
		s.receive(now, ev)
	case TaskEnded:
		s.end(now, ev)
	case EndpointChanged:
		s.endpoint = ev.Endpoint
		s.tellAll()
	case Stop:
		s.stopping = true
		s.tellAll()
	case Tick:
	}
}

func (s *State) openLink(ev LinkOpened) {
	l := &link{id: ev.Link, entry: ev.Entry, used: never}
	if old := s.byEntry[ev.Entry]; old != nil {
		l.open = old.open
		s.dropLink(old)
	}
	s.links[l.id] = l
	s.byEntry[l.entry] = l
	s.message(l).Agent = s.opts.Incarnation
}

func (s *State) closeLink(ev LinkClosed) {
	l, ok := s.links[ev.Link]
	if !ok {
		return
	}
	s.dropLink(l)
	if s.byEntry[l.entry] == l {
		delete(s.byEntry, l.entry)
	}
}

func (s *State) dropLink(l *link) {
	delete(s.links, l.id)
	s.starved = slices.DeleteFunc(s.starved, func(o *link) bool { return o == l })
}

// receive handles one message. Starts go before cancels and cancels before
// fences, whatever order the sender wrote them in; an entry never lets a start
// depend on a cancel or fence in the same message.
func (s *State) receive(now time.Duration, ev Received) {
	l, ok := s.links[ev.Link]
	if !ok {
		return
	}
	if ev.Msg.View != nil {
		s.echoed(l.entry, ev.Msg.View)
		s.learn(ev.Msg.View)
	}
	for _, m := range ev.Msg.Starts {
		s.start(now, l, ev.Msg.Agent, m)
	}
	for _, m := range ev.Msg.Cancels {
		s.cancel(now, l, m)
	}
	for _, m := range ev.Msg.Fences {
		s.fence(now, l, m)
	}
	if ev.Msg.Ping {
		s.message(l)
	}
}

// learn takes a view and turns queued work away if it may no longer start.
func (s *State) learn(v *wirepb.View) {
	was := s.view
	s.view = s.view.with(v)
	if was.open && !s.view.open {
		s.refuseQueue(reason.AgentClosed)
	}
	if was.known && was.open != s.view.open {
		s.tellAll()
	}
}

// pump starts queued tasks while there is room and the view allows it. A task
// that needs more than there is waits; smaller ones behind it may go first.
func (s *State) pump(now time.Duration) {
	if !s.open() {
		s.refuseQueue(s.closedReason())
		return
	}
	kept := s.queue[:0]
	held := false
	for _, r := range s.queue {
		switch {
		case !s.fits(r.need):
			kept = append(kept, r)
		case !s.view.fresh(now):
			held = true
			kept = append(kept, r)
		default:
			s.run(r)
		}
	}
	s.queue = kept
	if held {
		s.hold(now)
	}
}

func (s *State) run(r *record) {
	r.state = running
	s.running++
	s.runs[r] = struct{}{}
	s.used = s.used.With(r.need)
	until := s.view.confirmed + viewTTL
	if s.watches(r) {
		until = min(until, s.echoes[r.sender]+s.opts.EntrySilence)
	}
	s.out = append(s.out, Run{
		Ref:     r.ref,
		Name:    r.name,
		Step:    r.step,
		Index:   r.index,
		Attempt: r.attempt,
		Kind:    r.kind,
		Payload: r.payload,
		Stalls:  r.stalls,
		Until:   until,
	})
	r.payload = nil
}

// leftRunning takes a task out of the endpoint.
func (s *State) leftRunning(r *record) {
	s.running--
	delete(s.runs, r)
	s.used = s.used.Without(r.need)
}

// hold keeps queued tasks until a proof of the view comes, and refuses those
// that have waited too long for it.
func (s *State) hold(now time.Duration) {
	kept := s.queue[:0]
	for _, r := range s.queue {
		if now-r.queued < holdTimeout {
			kept = append(kept, r)
			continue
		}
		s.refuseQueued(r, reason.ViewUnconfirmed)
	}
	s.queue = kept
	if len(kept) == 0 || now-s.probed < probeInterval {
		return
	}
	s.probed = now
	for _, l := range s.links {
		s.message(l).Probe = true
	}
}

// open reports whether new starts are taken.
func (s *State) open() bool {
	return s.endpoint.Open && !s.stopping && (s.view.open || !s.view.known)
}

func (s *State) closedReason() reason.Reason {
	switch {
	case s.stopping:
		return reason.Stopping
	case !s.endpoint.Open:
		return reason.EndpointGone
	default:
		return reason.AgentClosed
	}
}

// message returns the message that this step sends over l.
func (s *State) message(l *link) *wirepb.FromAgent {
	if l.pending == nil {
		l.pending = &wirepb.FromAgent{}
	}
	return l.pending
}

func (s *State) tellAll() {
	for _, l := range s.links {
		s.message(l)
	}
}

// flush emits one message for each link that has something to be told.
func (s *State) flush(now time.Duration) {
	for _, l := range s.links {
		if l.pending == nil {
			continue
		}
		l.pending.Stamp = int64(now)
		l.pending.Load = s.load(l, now)
		s.out = append(s.out, Send{Link: l.id, Msg: l.pending})
		l.pending = nil
	}
}

func (s *State) load(l *link, now time.Duration) *wirepb.Load {
	return &wirepb.Load{
		Slots:         uint32(s.slots()),
		Free:          s.free().Wire(),
		Running:       uint32(s.running),
		Queued:        uint32(len(s.queue)),
		Open:          s.open(),
		ConfigVersion: s.view.version,
		Yours:         uint32(l.open),
		Room:          uint32(s.shareOf(l, now)),
	}
}

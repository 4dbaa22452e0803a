// Package entry holds the agent's control state towards the entries: the start
// ledger, the fences, the queue of tasks that wait for room at the endpoint,
// and the view of the configuration that allows tasks to start.
//
// The state does no I/O and reads no clock, so that every decision can be
// replayed from the events that led to it.
package entry

import (
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/agent/backfill"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

const (
	// viewTTL is how long tasks may start after the configuration version was
	// confirmed to be current.
	viewTTL = 2 * time.Second
	// probeInterval is the shortest time between two requests for a
	// confirmation.
	probeInterval = 100 * time.Millisecond
	// viewWaitTimeout is how long a queued task waits for a confirmation before
	// it is refused.
	viewWaitTimeout = time.Second
)

// Options configure a State.
type Options struct {
	Incarnation string
	// QueuePerSlot is the capacity of the queue per slot of the endpoint.
	QueuePerSlot float64
	Ledger       LedgerOptions
	// EntrySilenceTimeout is how old the latest stamp echoed by an entry may be
	// before the entry's repeatable tasks are stopped; 0 means that they are
	// never stopped for it.
	EntrySilenceTimeout time.Duration
}

// State is the control state of one agent. It is not safe for concurrent use.
type State struct {
	opts            Options
	ledger          *ledger
	queue           []*taskRecord
	reservedTask    *taskRecord // the queued task that has the reservation, nil if there is none
	reservation     backfill.Reservation
	runningCount    int
	runningTasks    []*taskRecord       // tasks that were handed to the endpoint, oldest first
	usedResources   resources.Resources // sum over the running tasks
	avgTaskCPUMilli float64             // moving average of the tasks' need, in thousandths of a processor core
	runTimeRatio    runTimeRatio
	meanRunTime     time.Duration            // moving average over the tasks that succeeded
	echoedStamps    map[string]time.Duration // latest stamp that each entry has echoed
	endpoint        Endpoint
	readySince      time.Duration  // when the endpoint last became ready for tasks
	crashes         []*crashRecord // by time of the latest crash
	stopping        bool
	view            configView
	links           map[uint64]*link
	openLinks       []*link          // the same links, oldest first
	byEntry         map[string]*link // newest link, by the entry's incarnation
	offerQueue      []*link          // links to offer room to, in the order in which they began to wait
	actions         []Action
	lastProbe       time.Duration // when a confirmation of the view was last requested
}

// Endpoint is the announced state of the agent's endpoint. The zero value is an
// endpoint that has not announced itself.
type Endpoint struct {
	// Number rises when another incarnation of the endpoint has announced itself, and
	// when the announcement allows other tasks.
	Number uint64
	// Slots is the number of tasks that the endpoint runs at once.
	Slots int
	// AcceptsTasks reports whether the endpoint accepts new tasks.
	AcceptsTasks bool
	// Capacity limits the sum of the resources of the running tasks; zero means
	// that only slots are counted.
	Capacity resources.Resources
}

// link is the open link of one entry.
type link struct {
	id       uint64
	entry    string // incarnation
	openedAt time.Duration
	// pending is the message that the current step sends over the link, nil if
	// there is none.
	pending *wirepb.FromAgent
	// refused are the starts that were refused for lack of room, the most urgent
	// first, less the offers made since.
	refused []urgency
	// waitsSince is when the link was last added to the offer queue.
	waitsSince time.Duration
	// offeredStarts is the number of places reserved for the entry until
	// offerExpiry.
	offeredStarts int
	offerExpiry   time.Duration
	// lastStart is when a start of the entry was last accepted; before the first
	// one, when the link was opened.
	lastStart time.Duration
	// openTasks counts the entry's queued and running tasks.
	openTasks int
	// statusStamp is the stamp of the latest message over the link that reported an
	// outcome or a change of whether the agent accepts starts, which reportedOpen
	// repeats.
	statusStamp  time.Duration
	reportedOpen bool
	// lastProbe is when a stopping agent last requested an echo.
	lastProbe time.Duration
	// released reports whether the agent has selected other entries instead.
	released bool
}

// New returns the state of an agent whose endpoint has not announced itself.
func New(o Options) *State {
	return &State{
		opts:         o,
		ledger:       newLedger(o.Ledger),
		echoedStamps: map[string]time.Duration{},
		links:        map[uint64]*link{},
		byEntry:      map[string]*link{},
		view:         configView{confirmedAt: never},
		lastProbe:    never,
	}
}

// Step handles the events in order and returns the actions that the agent must
// perform. The time now is a reading of a monotonic clock that counts from the
// start of the process.
func (s *State) Step(now time.Duration, events ...Event) []Action {
	s.actions = nil
	for _, ev := range events {
		s.handleEvent(now, ev)
	}
	s.stopTasksOfSilentEntries(now)
	s.confirmStop(now)
	s.startQueued(now)
	s.offerRoom(now)
	s.ledger.evict(now)
	s.flush(now)
	return s.actions
}

// Idle reports whether no task is queued or running.
func (s *State) Idle() bool { return s.runningCount == 0 && len(s.queue) == 0 }

// Running returns the number of tasks that run in the endpoint.
func (s *State) Running() int { return s.runningCount }

func (s *State) handleEvent(now time.Duration, ev Event) {
	switch ev := ev.(type) {
	case LinkOpened:
		s.openLink(now, ev)
	case LinkClosed:
		s.closeLink(ev)
	case MessageReceived:
		s.handleMessage(now, ev)
	case TaskEnded:
		s.handleTaskEnded(now, ev)
	case HomesChanged:
		s.handleHomesChanged(ev)
	case EndpointChanged:
		if ev.Endpoint.Number != s.endpoint.Number {
			s.refuseAllQueued(reason.EndpointReplaced)
			s.runTimeRatio, s.meanRunTime = runTimeRatio{}, 0
		}
		if ev.Endpoint.AcceptsTasks && (!s.endpoint.AcceptsTasks || ev.Endpoint.Number != s.endpoint.Number) {
			s.readySince = now
		}
		s.endpoint = ev.Endpoint
		s.sendLoadToAll()
	case Stop:
		s.stopping = true
		s.sendLoadToAll()
	case Tick:
	}
}

// handleHomesChanged tells the entries whose links are released or wanted again.
func (s *State) handleHomesChanged(ev HomesChanged) {
	for _, l := range s.openLinks {
		released := slices.Contains(ev.Released, l.entry)
		if released != l.released {
			l.released = released
			s.pendingMessage(l)
		}
	}
}

func (s *State) openLink(now time.Duration, ev LinkOpened) {
	l := &link{id: ev.Link, entry: ev.Entry, openedAt: now, lastStart: now, lastProbe: never}
	if old := s.byEntry[ev.Entry]; old != nil {
		l.openTasks = old.openTasks
		s.removeLink(old)
	}
	s.links[l.id] = l
	s.openLinks = append(s.openLinks, l)
	s.byEntry[l.entry] = l
	s.pendingMessage(l).Agent = s.opts.Incarnation
	s.sendOpenTasks(l)
	for _, record := range s.crashes {
		if now-record.at < crashRetention {
			s.sendCrashNotice(l, record)
		}
	}
}

// sendOpenTasks sends the state of the repeatable tasks that are queued or running
// for the entry of a new link. Messages about them may have been lost with its
// previous link.
func (s *State) sendOpenTasks(l *link) {
	for _, r := range slices.Concat(s.queue, s.runningTasks) {
		if r.repeatable && r.sender == l.entry {
			s.sendUpdate(l, r)
		}
	}
}

func (s *State) closeLink(ev LinkClosed) {
	l, ok := s.links[ev.Link]
	if !ok {
		return
	}
	s.removeLink(l)
	if s.byEntry[l.entry] == l {
		delete(s.byEntry, l.entry)
	}
}

func (s *State) removeLink(l *link) {
	delete(s.links, l.id)
	s.openLinks = slices.DeleteFunc(s.openLinks, func(o *link) bool { return o == l })
	s.offerQueue = slices.DeleteFunc(s.offerQueue, func(o *link) bool { return o == l })
}

// handleMessage handles one message of an entry: first the view, then the
// starts, the cancels and the fences. An entry never lets a start depend on a
// cancel or fence of the same message.
func (s *State) handleMessage(now time.Duration, ev MessageReceived) {
	l, ok := s.links[ev.Link]
	if !ok {
		return
	}
	if ev.Msg.View != nil {
		s.recordEcho(l.entry, ev.Msg.View)
		s.updateView(ev.Msg.View)
	}
	for _, m := range ev.Msg.Starts {
		s.handleStart(now, l, ev.Msg.Agent, m)
	}
	for _, m := range ev.Msg.Cancels {
		s.handleCancel(now, l, m)
	}
	for _, m := range ev.Msg.Fences {
		s.handleFence(now, l, m)
	}
	if ev.Msg.Ping {
		s.pendingMessage(l)
	}
}

// updateView applies a view and refuses the queued tasks if the agent no longer
// accepts starts.
func (s *State) updateView(v *wirepb.View) {
	previous := s.view
	s.view = s.view.with(v)
	if previous.inService && !s.view.inService {
		s.refuseAllQueued(reason.AgentClosed)
	}
	if previous.received && previous.inService != s.view.inService {
		s.sendLoadToAll()
	}
}

// startTask hands a task to the endpoint.
func (s *State) startTask(now time.Duration, r *taskRecord) {
	r.state = stateRunning
	r.startedAt = now
	r.endpoint = s.endpoint.Number
	r.expected = s.expectedRunTime(r)
	s.runningCount++
	s.runningTasks = append(s.runningTasks, r)
	s.usedResources = s.usedResources.With(r.needs)
	startDeadline := s.view.confirmedAt + viewTTL
	silentEntry := ""
	if s.stopsOnSilence(r) {
		silentEntry = r.sender
		startDeadline = min(startDeadline, s.echoedStamps[r.sender]+s.opts.EntrySilenceTimeout)
	}
	s.actions = append(s.actions, StartTask{
		Ref:           r.ref,
		Endpoint:      s.endpoint.Number,
		SilentEntry:   silentEntry,
		CallerJobID:   r.callerJobID,
		Step:          r.step,
		Index:         r.index,
		Attempt:       r.attempt,
		Kind:          r.kind,
		Payload:       r.payload,
		Stalls:        r.stalls,
		StartDeadline: startDeadline,
	})
	r.payload = nil
}

// removeRunning removes a task from the running tasks and releases its
// resources.
func (s *State) removeRunning(r *taskRecord) {
	s.runningCount--
	s.runningTasks = slices.DeleteFunc(s.runningTasks, func(o *taskRecord) bool { return o == r })
	s.usedResources = s.usedResources.Without(r.needs)
}

// requestView requests a confirmation of the view over every link.
func (s *State) requestView(now time.Duration) {
	if now-s.lastProbe < probeInterval {
		return
	}
	s.lastProbe = now
	for _, l := range s.openLinks {
		s.pendingMessage(l).Probe = true
	}
}

// acceptsStarts reports whether the agent accepts new starts.
func (s *State) acceptsStarts() bool {
	return s.endpoint.AcceptsTasks && !s.stopping && (s.view.inService || !s.view.received)
}

func (s *State) closedReason() reason.Reason {
	switch {
	case s.stopping:
		return reason.Stopping
	case !s.endpoint.AcceptsTasks:
		return reason.EndpointGone
	default:
		return reason.AgentClosed
	}
}

// pendingMessage returns the message that the current step sends over l.
func (s *State) pendingMessage(l *link) *wirepb.FromAgent {
	if l.pending == nil {
		l.pending = &wirepb.FromAgent{}
	}
	return l.pending
}

// sendLoadToAll makes the current step send a message, with the current load,
// over every link.
func (s *State) sendLoadToAll() {
	for _, l := range s.openLinks {
		s.pendingMessage(l)
	}
}

// flush emits the pending message of each link.
func (s *State) flush(now time.Duration) {
	for _, l := range s.openLinks {
		if l.pending == nil {
			continue
		}
		l.pending.Stamp = int64(now)
		l.pending.Load = s.load(l, now)
		if len(l.pending.Updates) > 0 || len(l.pending.Reports) > 0 || l.reportedOpen != l.pending.Load.Open {
			l.reportedOpen = l.pending.Load.Open
			l.statusStamp = now
		}
		s.actions = append(s.actions, Send{Link: l.id, Msg: l.pending})
		l.pending = nil
	}
}

func (s *State) load(l *link, now time.Duration) *wirepb.Load {
	return &wirepb.Load{
		Slots:         uint32(s.slots()),
		Free:          s.freeResources().Wire(),
		Running:       uint32(s.runningCount),
		Queued:        uint32(len(s.queue)),
		Open:          s.acceptsStarts(),
		ConfigVersion: s.view.version,
		Yours:         uint32(l.openTasks),
		Room:          uint32(s.shareOf(l, now)),
		RunTimeRatio:  s.runTimeRatio.value(),
		Released:      l.released,
		Endpoint:      s.endpoint.Number,
	}
}

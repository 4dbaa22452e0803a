// Package host runs an agent: it connects the agent's control state with its
// links to entries and with its endpoint.
package host

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/membership/rendezvous"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/telemetry/counters"
	"github.com/savorystair/savorystair/internal/telemetry/refusals"
	"github.com/savorystair/savorystair/internal/transport/clock"
	"github.com/savorystair/savorystair/internal/transport/h2c"
	"github.com/savorystair/savorystair/internal/transport/outbox"
	"github.com/savorystair/savorystair/internal/transport/supervise"
)

const (
	// tickInterval is the interval of the Tick events to the control state.
	tickInterval = 50 * time.Millisecond
	// idlePollInterval is how often a planned stop checks whether tasks are
	// left.
	idlePollInterval = 10 * time.Millisecond
	// drainTimeout is how long a planned stop waits, after the last task has ended,
	// for all entries to confirm that they know. An entry that takes longer does
	// not respond.
	drainTimeout = time.Second
	// eventQueueLength is the capacity of the event queue of the control
	// goroutine.
	eventQueueLength = 1024
	// maxEventsPerStep limits the events of one control step.
	maxEventsPerStep = 256
	// expiryChecksPerTimeout is how often the expiry of an announcement is
	// checked during its timeout.
	expiryChecksPerTimeout = 8
	// reservationLogInterval is the shortest time between two log lines about
	// reservations, of which a busy agent makes several each second.
	reservationLogInterval = time.Second
	// firstIgnoredLines is how many log lines about ignored announcements are written at
	// once, and ignoredLogInterval the shortest time between further ones.
	firstIgnoredLines  = 16
	ignoredLogInterval = 10 * time.Second
)

// Options replace parts of the agent's communication with its endpoint and with
// the table. The zero value selects the built-in endpoint protocol and no
// table.
type Options struct {
	// AnnouncementHandler returns the handler for the endpoint's announcements;
	// nil means that of the registry.
	AnnouncementHandler func(*endpoint.Registry) http.Handler
	// AnnouncementRefusal returns the body of the response to a request that is refused
	// before AnnouncementHandler's handler runs; nil means plain text.
	AnnouncementRefusal func(status int, detail string) (contentType string, body []byte)
	// NewRunController returns a controller for an endpoint that runs tasks
	// under a lease; nil means that the endpoint runs a task for the duration of
	// one HTTP request.
	NewRunController func(endpoint.Announcement) endpoint.RunController
	// LookUpEntries returns the entries in the table; nil means that the agent
	// knows only those of the settings and those that they name.
	LookUpEntries func(context.Context) ([]rendezvous.Entry, error)
	// AnnouncementStore stores the endpoint's announcement across restarts of
	// the agent; nil means that a restarted agent waits for the next
	// announcement.
	AnnouncementStore AnnouncementStore
}

// Agent is a running agent.
type Agent struct {
	settings    process.Agent
	incarnation string
	log         *zap.Logger
	counters    *counters.Set
	// reservationLog limits the log lines about reservations.
	reservationLog rate.Sometimes
	// ignoredLog limits the log lines about announcements that don't count.
	ignoredLog rate.Sometimes
	options    Options
	started    time.Duration // reading of clock.SinceBoot

	events   chan entry.Event
	registry endpoint.Registry
	meter    h2c.Meter

	linkListener     net.Listener
	endpointListener net.Listener

	pushMu         sync.Mutex // held while the state of the endpoint is sent; taken before mu
	mu             sync.Mutex
	lastLinkID     uint64
	links          map[uint64]*entryLink // by link number
	byEntry        map[string]*entryLink // newest link, by the entry's incarnation
	announcement   endpoint.Announcement
	endpointNumber uint64 // counts the endpoint's incarnations, and the changes of which tasks one runs
	endpointReady  bool   // whether the endpoint is ready for tasks; for a leased one, as reported by its runner
	runner         endpoint.Runner
	confirmed      endpoint.Announcement   // the latest one that a listing has shown
	controller     endpoint.RunController  // that confirmed it
	stopLease      context.CancelCauseFunc // stops renewing the lease of the endpoint
	taskRuns       map[entry.TaskRef]*taskRun
	idle           bool // copied from the control state, as are drained and runningCount
	drained        bool
	runningCount   int
	echoes         map[string]time.Duration // latest stamp that each entry has echoed, copied likewise

	announcer      *announcer
	announceWake   chan struct{} // wakes the announcer to announce a change of the agent
	membershipWake chan struct{} // wakes the announcer after a change of entries or links
	ctx            context.Context
	cancel         context.CancelFunc
	supervisorDone <-chan error
	background     sync.WaitGroup
}

// entryLink is one link of an entry.
type entryLink struct {
	entry   string // incarnation
	address string // peer address of the entry
	opened  time.Duration
	outbox  *outbox.Outbox
	ended   chan struct{} // closed when the agent ends the link
	once    sync.Once     // guards the close of ended
}

// end makes the agent end the link. It may be called more than once.
func (l *entryLink) end() { l.once.Do(func() { close(l.ended) }) }

// Start listens on the agent's addresses and runs the agent until Close.
func Start(s process.Agent, log *zap.Logger, o Options) (*Agent, error) {
	s = s.WithDefaults()
	a := &Agent{
		settings:       s,
		incarnation:    s.ID + "." + rand.Text()[:10],
		log:            log,
		counters:       counters.New(),
		reservationLog: rate.Sometimes{Interval: reservationLogInterval},
		ignoredLog:     rate.Sometimes{First: firstIgnoredLines, Interval: ignoredLogInterval},
		options:        o,
		started:        clock.SinceBoot(),
		events:         make(chan entry.Event, eventQueueLength),
		links:          map[uint64]*entryLink{},
		byEntry:        map[string]*entryLink{},
		taskRuns:       map[entry.TaskRef]*taskRun{},
		echoes:         map[string]time.Duration{},
		idle:           true,

		announceWake:   make(chan struct{}, 1),
		membershipWake: make(chan struct{}, 1),
	}
	a.announcer = newAnnouncer(a)
	a.registry.AllowedAddresses = s.Endpoints
	a.registry.OnChange = a.endpointChanged
	a.registry.OnIgnored = a.announcementIgnored
	a.registry.Timeout = s.EndpointTimeout()
	if o.NewRunController != nil {
		a.registry.Confirm = a.confirmEndpoint
	}
	if err := a.listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.ctx = ctx
	a.cancel = cancel
	a.supervisorDone = a.supervise(ctx)
	log.Info("agent started", zap.String("incarnation", a.incarnation),
		zap.String("link_address", a.LinkAddress()), zap.String("endpoint_address", a.EndpointAddress()))
	return a, nil
}

// LinkAddress returns the address at which entries open links to the agent.
func (a *Agent) LinkAddress() string { return a.linkListener.Addr().String() }

// EndpointAddress returns the address at which the agent receives announcements
// of its endpoint.
func (a *Agent) EndpointAddress() string { return a.endpointListener.Addr().String() }

// Incarnation returns the id of this run of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// Reload applies the settings that can change while the agent runs: the
// addresses of entries.
func (a *Agent) Reload(s process.Agent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings.Entries = s.Entries
}

func (a *Agent) configuredEntries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.settings.Entries
}

// Stop begins a planned stop and waits until all accepted tasks have ended, and
// the entries have confirmed that they know their outcomes and send no further
// starts, or until ctx ends. Starts that arrive until then are refused as not run.
func (a *Agent) Stop(ctx context.Context) error {
	a.log.Info("agent stopping", zap.Int("running", a.runningTasks()))
	a.pushEvent(ctx, entry.Stop{})
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	var idleSince time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			a.log.Warn("planned stop of agent timed out with running tasks", zap.Int("running", a.runningTasks()))
			return fmt.Errorf("planned stop: %w", ctx.Err())
		}
		idle, drained := a.stopProgress()
		switch {
		case !idle:
			idleSince = time.Time{}
			continue
		case idleSince.IsZero():
			idleSince = time.Now()
		}
		if drained || time.Since(idleSince) > drainTimeout {
			a.log.Info("planned stop of agent completed", zap.Bool("confirmed", drained))
			return nil
		}
	}
}

// Close stops the agent at once and waits until its goroutines have ended.
func (a *Agent) Close() {
	a.cancel()
	a.mu.Lock()
	for _, l := range a.links {
		l.end()
	}
	a.mu.Unlock()
	<-a.supervisorDone
	a.background.Wait()
}

func (a *Agent) listen() error {
	var errs []error
	var err error
	if a.linkListener, err = net.Listen("tcp", a.settings.LinkAddress); err != nil {
		errs = append(errs, fmt.Errorf("link_address: %w", err))
	}
	if a.endpointListener, err = net.Listen("tcp", a.settings.EndpointAddress); err != nil {
		errs = append(errs, fmt.Errorf("endpoint_address: %w", err))
	}
	if len(errs) > 0 {
		for _, ln := range []net.Listener{a.linkListener, a.endpointListener} {
			if ln != nil {
				// Nothing was accepted yet, so the error does not matter.
				_ = ln.Close()
			}
		}
	}
	return errors.Join(errs...)
}

// supervise starts the agent's services and returns a channel that receives a
// value when all have ended.
func (a *Agent) supervise(ctx context.Context) <-chan error {
	mux := http.NewServeMux()
	mux.Handle(wirepb.NewAgentLinkHandler(&linkServer{agent: a}, h2c.HandlerOptions()))
	mux.Handle("GET /debug/vars", a.counters)
	tree := supervise.New("agent", a.log)
	tree.Add(supervise.Func(a.runControl))
	tree.Add(a.announcer)
	tree.Add(supervise.Func(a.persistAnnouncement))
	tree.Add(supervise.Func(a.runEndpointExpiry))
	recorder := &refusals.Recorder{Counters: a.counters, Log: a.log}
	guard := &h2c.Guard{OnRefusal: recorder.Record}
	guard.SetLimits(a.settings.TransportLimits())
	tree.Add(h2c.NewLimitedService(a.meter.Listener(a.linkListener), mux, h2c.ServiceOptions{
		Guard: guard, Name: "entries", Limits: a.settings.LinkLimits(),
	}))
	announcements := a.registry.Handler()
	if a.options.AnnouncementHandler != nil {
		announcements = a.options.AnnouncementHandler(&a.registry)
	}
	tree.Add(h2c.NewLimitedService(a.endpointListener, announcements, h2c.ServiceOptions{
		Guard: guard, Name: "announcements", Limits: a.settings.AnnouncementLimits(), HTTP1Only: true, RefusalBody: a.options.AnnouncementRefusal,
	}))
	return tree.ServeBackground(ctx)
}

// pushEvent sends an event to the control goroutine.
func (a *Agent) pushEvent(ctx context.Context, ev entry.Event) {
	select {
	case a.events <- ev:
	case <-ctx.Done():
	}
}

func (a *Agent) runEndpointExpiry(ctx context.Context) error {
	ticker := time.NewTicker(a.settings.EndpointTimeout() / expiryChecksPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.registry.Expire(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// stopProgress reports whether no task is left, and whether all entries have
// confirmed that they know.
func (a *Agent) stopProgress() (idle, drained bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.idle, a.drained
}

func (a *Agent) runningTasks() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runningCount
}

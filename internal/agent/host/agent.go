// Package host runs an agent: the supervisor tree around its control state,
// its links to entries and its endpoint.
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

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/telemetry/counters"
	"github.com/savorystair/savorystair/internal/transport/clock"
	"github.com/savorystair/savorystair/internal/transport/h2c"
	"github.com/savorystair/savorystair/internal/transport/outbox"
	"github.com/savorystair/savorystair/internal/transport/supervise"
)

const (
	// tickInterval is how often time passes for the control state.
	tickInterval = 50 * time.Millisecond
	// idlePoll is how often a planned stop looks whether work is left.
	idlePoll = 10 * time.Millisecond
	// settle is how long a stopped agent's last outcomes may take to be sent.
	settle = 200 * time.Millisecond
	// eventQueue is the length of the queue before the control goroutine.
	eventQueue = 1024
	// maxBatch bounds the events of one control step.
	maxBatch = 256
	// expireChecks is how often an announcement is looked at in the time for
	// which it holds.
	expireChecks = 8
)

// Options replace how the agent speaks to its endpoint. The zero value speaks
// the endpoint interface of the product itself.
type Options struct {
	// Handler serves the endpoint's announcements.
	Handler func(*endpoint.Registry) http.Handler
	// Orders returns the calls of an endpoint that is given orders; nil means
	// that endpoints run a task while a call lasts.
	Orders func(endpoint.Announcement) endpoint.Orders
	// Entries returns the peer addresses of entries beside those of the
	// settings; nil means that there are none.
	Entries func(context.Context) ([]string, error)
	// Memory keeps the endpoint's announcement over restarts; nil means that
	// the agent waits for the next one.
	Memory Memory
}

// Agent is a running agent.
type Agent struct {
	settings    process.Agent
	incarnation string
	log         *zap.Logger
	counters    *counters.Set
	options     Options
	started     time.Duration // by clock.Boot

	events   chan entry.Event
	registry endpoint.Registry
	meter    h2c.Meter

	linkListener     net.Listener
	endpointListener net.Listener

	mu       sync.Mutex
	nextLink uint64
	links    map[uint64]*openLink
	byEntry  map[string]*openLink
	held     endpoint.Announcement
	up       bool // the endpoint takes tasks, as far as its lease shows
	runner   endpoint.Runner
	retire   context.CancelFunc // ends the care for the endpoint's lease
	aborts   map[entry.Ref]context.CancelFunc
	idle     bool
	running  int

	refreshed time.Time     // when a linked entry was last asked again; the announcer's
	lookedUp  time.Time     // when entries were last looked up; the announcer's
	announce  chan struct{} // wakes the announcer
	ctx       context.Context
	cancel    context.CancelFunc
	tree      <-chan error
	runs      sync.WaitGroup
}

// openLink is the host's side of a link of an entry.
type openLink struct {
	entry  string
	outbox *outbox.Outbox
	ended  chan struct{}
	once   sync.Once
}

func (l *openLink) end() { l.once.Do(func() { close(l.ended) }) }

// Start binds the agent's addresses and runs it until Close.
func Start(s process.Agent, log *zap.Logger, o Options) (*Agent, error) {
	s = s.WithDefaults()
	a := &Agent{
		settings:    s,
		incarnation: s.ID + "." + rand.Text()[:10],
		log:         log,
		counters:    counters.New(),
		options:     o,
		started:     clock.Boot(),
		events:      make(chan entry.Event, eventQueue),
		links:       map[uint64]*openLink{},
		byEntry:     map[string]*openLink{},
		aborts:      map[entry.Ref]context.CancelFunc{},
		announce:    make(chan struct{}, 1),
		idle:        true,
	}
	a.registry.Allowed = s.Endpoints
	a.registry.Changed = a.endpointChanged
	a.registry.Timeout = s.EndpointTimeout()
	if err := a.listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.ctx = ctx
	a.cancel = cancel
	a.tree = a.supervise(ctx)
	log.Info("agent started", zap.String("incarnation", a.incarnation),
		zap.String("link_address", a.LinkAddress()), zap.String("endpoint_address", a.EndpointAddress()))
	return a, nil
}

// LinkAddress returns the address that entries link to.
func (a *Agent) LinkAddress() string { return a.linkListener.Addr().String() }

// EndpointAddress returns the address that the endpoint announces itself to.
func (a *Agent) EndpointAddress() string { return a.endpointListener.Addr().String() }

// Incarnation returns the name of this run of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// Reload takes what of new settings can change while the agent runs: the
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

// Stop begins a planned stop and waits until the tasks that were taken have
// ended and their outcomes are sent, or until ctx ends.
func (a *Agent) Stop(ctx context.Context) error {
	a.log.Info("agent stopping", zap.Int("running", a.runningTasks()))
	a.push(ctx, entry.Stop{})
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			a.log.Warn("agent stops with tasks running", zap.Int("running", a.runningTasks()))
			return fmt.Errorf("planned stop: %w", ctx.Err())
		}
		if a.isIdle() {
			time.Sleep(settle)
			a.log.Info("agent has no task left")
			return nil
		}
	}
}

// Close ends the agent at once and waits until its goroutines have ended.
func (a *Agent) Close() {
	a.cancel()
	a.mu.Lock()
	for _, l := range a.links {
		l.end()
	}
	a.mu.Unlock()
	<-a.tree
	a.runs.Wait()
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
	return errors.Join(errs...)
}

// supervise runs the agent's services.
func (a *Agent) supervise(ctx context.Context) <-chan error {
	mux := http.NewServeMux()
	mux.Handle(wirepb.NewAgentLinkHandler(&linkServer{agent: a}))
	mux.Handle("GET /debug/vars", a.counters)
	tree := supervise.New("agent", a.log)
	tree.Add(supervise.Func(a.control))
	tree.Add(supervise.Func(a.announcer))
	tree.Add(supervise.Func(a.remember))
	tree.Add(supervise.Func(a.expireEndpoint))
	tree.Add(h2c.NewService(a.meter.Listener(a.linkListener), mux))
	announcements := a.registry.Handler()
	if a.options.Handler != nil {
		announcements = a.options.Handler(&a.registry)
	}
	tree.Add(h2c.NewService(a.endpointListener, announcements))
	return tree.ServeBackground(ctx)
}

// push hands an event to the control goroutine.
func (a *Agent) push(ctx context.Context, ev entry.Event) {
	select {
	case a.events <- ev:
	case <-ctx.Done():
	}
}

func (a *Agent) expireEndpoint(ctx context.Context) error {
	ticker := time.NewTicker(a.settings.EndpointTimeout() / expireChecks)
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

func (a *Agent) isIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.idle
}

func (a *Agent) runningTasks() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

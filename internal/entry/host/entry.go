// Package host runs an entry: the supervisor tree around its control state and
// its connections to callers, operators, agents, other entries and the table
// service.
package host

import (
	"context"
	"crypto/rand"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/operator"
	"github.com/savorystair/savorystair/internal/entry/peer"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/entry/rest"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/telemetry/counters"
	"github.com/savorystair/savorystair/internal/transport/h2c"
	"github.com/savorystair/savorystair/internal/transport/pause"
	"github.com/savorystair/savorystair/internal/transport/supervise"
)

const (
	// busyTick and idleTick are how often time passes for the control state
	// while jobs are open, and else.
	busyTick = 10 * time.Millisecond
	idleTick = 100 * time.Millisecond
	// idlePoll is how often a planned stop looks whether jobs are left.
	idlePoll = 10 * time.Millisecond
	// settle is how long the last answers to other entries may take to be
	// sent.
	settle = 100 * time.Millisecond
	// leaveTimeout bounds the last write of a stopped entry.
	leaveTimeout = time.Second
	// pingWait is how long agents have to answer when an operator asks.
	pingWait = 200 * time.Millisecond
	// eventQueue is the length of the queue before the control goroutine.
	eventQueue = 4096
	// maxBatch bounds the events of one control step.
	maxBatch = 512
)

// Entry is a running entry.
type Entry struct {
	settings    process.Entry
	options     Options
	incarnation string
	log         *zap.Logger
	counters    *counters.Set
	started     time.Time

	events  chan caller.Event
	looks   chan look
	tickets tickets
	rosters chan caller.WriteRoster
	open    atomic.Int64
	usable  expvar.Int
	// reachable counts the agents that take tasks of repeatable jobs.
	reachable expvar.Int
	stopped   atomic.Bool
	nextKey   atomic.Uint64

	links     *agent.Links
	table     platform.Table
	health    *platform.Health
	claims    *platform.Claims
	roster    *platform.Rosters
	directory *platform.Directory
	config    *platform.Config
	peers     *peer.Client
	joiner    *peer.Joiner

	tableMeter h2c.Meter
	agentMeter h2c.Meter
	peerMeter  h2c.Meter

	callerListener   net.Listener
	operatorListener net.Listener
	peerListener     net.Listener
	readyListener    net.Listener // where the balancer asks, if it does
	callers          *h2c.Service

	ctx    context.Context
	cancel context.CancelFunc
	tree   <-chan error
	calls  sync.WaitGroup
}

// Options replace what an entry speaks towards others. The zero value speaks
// the interfaces of the product itself.
type Options struct {
	// Table is the table service; nil means the one of the settings.
	Table platform.Table
	// Source is where operators keep the configuration; nil means the table.
	Source platform.Source
	// Callers serves callers beside the caller API, which then moves to the
	// operators' address; Ready answers the balancer.
	Callers func(*Entry) http.Handler
	Ready   func(*Entry) http.Handler
}

// look is a function to be run by the control goroutine.
type look struct {
	see  func(*caller.State)
	done chan struct{}
}

// Start binds the entry's addresses and runs it until Close.
func Start(s process.Entry, log *zap.Logger, o Options) (*Entry, error) {
	s = s.WithDefaults()
	e := &Entry{
		options:     o,
		settings:    s,
		incarnation: s.ID + "." + rand.Text()[:10],
		log:         log,
		counters:    counters.New(),
		started:     time.Now(),
		events:      make(chan caller.Event, eventQueue),
		looks:       make(chan look),
		rosters:     make(chan caller.WriteRoster, 1),
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.connect()
	tree, err := e.supervise()
	if err != nil {
		e.cancel()
		return nil, err
	}
	e.tree = tree
	log.Info("entry started", zap.String("incarnation", e.incarnation),
		zap.String("caller_address", e.CallerAddress()),
		zap.String("operator_address", e.OperatorAddress()),
		zap.String("peer_address", e.PeerAddress()))
	return e, nil
}

// CallerAddress returns the address of the caller API.
func (e *Entry) CallerAddress() string { return e.callerListener.Addr().String() }

// OperatorAddress returns the address of the operator API.
func (e *Entry) OperatorAddress() string { return e.operatorListener.Addr().String() }

// PeerAddress returns the address for agents and other entries.
func (e *Entry) PeerAddress() string { return e.peerListener.Addr().String() }

// Incarnation returns the name of this run of the entry.
func (e *Entry) Incarnation() string { return e.incarnation }

// Reload takes what of new settings can change while the entry runs: the seeds.
func (e *Entry) Reload(s process.Entry) { e.directory.SetSeeds(s.Seeds) }

// Stop begins a planned stop: no new jobs are taken. It waits until every job
// has its answer, or until ctx ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.log.Info("entry stopping", zap.Int64("open_jobs", e.open.Load()))
	e.stopped.Store(true)
	if e.settings.Adapter != nil {
		// The balancer sends connections until it has noticed.
		if err := pause.For(ctx, e.settings.Adapter.Accept()); err != nil {
			return fmt.Errorf("planned stop: %w", err)
		}
	}
	e.emit(caller.Stop{})
	e.callers.Discourage()
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for e.open.Load() > 0 || e.tickets.waiting() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			e.log.Warn("entry stops with jobs open", zap.Int64("open_jobs", e.open.Load()))
			return fmt.Errorf("planned stop: %w", ctx.Err())
		}
	}
	if err := e.callers.Shutdown(ctx); err != nil {
		return err
	}
	time.Sleep(settle)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	e.directory.Leave(ctx)
	e.log.Info("entry has no job left")
	return nil
}

// Close ends the entry at once and waits until its goroutines have ended.
func (e *Entry) Close() {
	e.cancel()
	<-e.tree
	e.calls.Wait()
	e.links.Wait()
	e.table.Close()
	e.peers.HTTP.CloseIdleConnections()
}

func (e *Entry) listen() error {
	var errs []error
	bind := func(name, address string) net.Listener {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
		return ln
	}
	e.callerListener = bind("caller_address", e.settings.CallerAddress)
	e.operatorListener = bind("operator_address", e.settings.OperatorAddress)
	e.peerListener = bind("peer_address", e.settings.PeerAddress)
	if e.options.Ready != nil && e.settings.Adapter != nil {
		e.readyListener = bind("ready_address", e.settings.Adapter.ReadyAddress)
	}
	return errors.Join(errs...)
}

// connect makes the clients of the entry's peers.
func (e *Entry) connect() {
	e.links = &agent.Links{EntryIncarnation: e.incarnation, Listener: (*listener)(e), Log: e.log, Meter: &e.agentMeter}
	e.table = e.options.Table
	if e.table == nil {
		e.table = platform.NewTable(e.settings.TableAddress, &e.tableMeter)
	}
	e.health = &platform.Health{Emit: e.emit}
	e.claims = platform.NewClaims(e.table, e.health, e.log, e.emit, e.countRetry)
	e.roster = &platform.Rosters{Table: e.table, Incarnation: e.incarnation, Log: e.log, Emit: e.emit}
	e.directory = &platform.Directory{Table: e.table, Self: e.self(), Log: e.log, Emit: e.emit}
	e.peers = &peer.Client{
		Incarnation: e.incarnation,
		Directory:   e.directory,
		HTTP:        h2c.Client(true, &e.peerMeter),
		Log:         e.log,
		Emit:        e.emit,
	}
	e.joiner = &peer.Joiner{Client: e.peers, AddAgent: e.AddAgent}
	e.directory.Heard = e.joiner.Wake
	e.directory.SetSeeds(e.settings.Seeds)
	e.config = &platform.Config{
		Table:  e.table,
		Health: e.health,
		Peers:  e.peers,
		Log:    e.log,
		Emit:   e.emit,
		Now:    e.Now,
		Source: e.options.Source,
	}
	e.counters.Agents.Set("usable", &e.usable)
	e.counters.Agents.Set("reachable", &e.reachable)
	commits, reads := e.table.Calls()
	e.counters.Events.Set("table_commits", commits)
	e.counters.Events.Set("table_reads", reads)
	e.counters.Bytes.Set("table_in", &e.tableMeter.In)
	e.counters.Bytes.Set("table_out", &e.tableMeter.Out)
	e.counters.Bytes.Set("agents_in", &e.agentMeter.In)
	e.counters.Bytes.Set("agents_out", &e.agentMeter.Out)
	e.counters.Bytes.Set("peers_in", &e.peerMeter.In)
	e.counters.Bytes.Set("peers_out", &e.peerMeter.Out)
}

func (e *Entry) self() platform.Peer {
	return platform.Peer{
		Incarnation: e.incarnation,
		ID:          e.settings.ID,
		Zone:        e.settings.Zone,
		Region:      e.settings.Region,
		Address:     e.PeerAddress(),
	}
}

// supervise runs the entry's services.
func (e *Entry) supervise() (<-chan error, error) {
	callers, err := rest.NewServer(e)
	if err != nil {
		return nil, err
	}
	operators, err := operator.NewServer(&operator.Handler{
		Self:      e.self(),
		Control:   e,
		Config:    e.config,
		Health:    e.health,
		Peers:     e.peers,
		NewEditID: rand.Text,
	}, e.counters)
	if err != nil {
		return nil, err
	}
	peers := http.NewServeMux()
	peers.Handle(wirepb.NewEntryPeerHandler(&peer.Server{
		Incarnation: e.incarnation,
		Control:     e,
		Directory:   e.directory,
		Config:      e.config,
	}))
	tree := supervise.New("entry", e.log)
	tree.Add(supervise.Func(e.control))
	tree.Add(supervise.Func(e.claims.Serve))
	tree.Add(supervise.Func(e.claims.ServeReads))
	tree.Add(supervise.Func(e.directory.Serve))
	tree.Add(supervise.Func(e.joiner.Serve))
	tree.Add(supervise.Func(e.config.Serve))
	tree.Add(supervise.Func(e.writeRosters))
	if e.options.Callers != nil {
		mux := http.NewServeMux()
		mux.Handle("/", operators)
		mux.Handle("/v1/jobs/", callers)
		operators, callers = mux, e.options.Callers(e)
	}
	e.callers = h2c.NewService(e.callerListener, callers)
	tree.Add(e.callers)
	tree.Add(h2c.NewService(e.operatorListener, operators))
	if e.readyListener != nil {
		tree.Add(h2c.NewService(e.readyListener, e.options.Ready(e)))
	}
	tree.Add(h2c.NewService(e.peerMeter.Listener(e.peerListener), peers))
	return tree.ServeBackground(e.ctx), nil
}

// emit hands an event to the control goroutine.
func (e *Entry) emit(ev caller.Event) {
	select {
	case e.events <- ev:
	case <-e.ctx.Done():
	}
}

// writeRosters writes one roster at a time.
func (e *Entry) writeRosters(ctx context.Context) error {
	for {
		select {
		case w := <-e.rosters:
			e.roster.Write(ctx, w)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Package host runs an entry, the process that accepts jobs from callers and sends
// their tasks to agents. It connects the control state with the servers for
// callers, operators, agents and other entries, and with the clients of agents,
// other entries and the table service, and supervises their goroutines.
package host

import (
	"context"
	"crypto/rand"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/admission"
	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/operator"
	"github.com/savorystair/savorystair/internal/entry/peer"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/entry/rest"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/telemetry/counters"
	"github.com/savorystair/savorystair/internal/telemetry/refusals"
	"github.com/savorystair/savorystair/internal/transport/clock"
	"github.com/savorystair/savorystair/internal/transport/h2c"
	"github.com/savorystair/savorystair/internal/transport/supervise"
)

const (
	// busyTick is the interval between ticks of the control state while jobs are
	// open.
	busyTick = 10 * time.Millisecond
	// idleTick is the interval between ticks while no job is open.
	idleTick = 100 * time.Millisecond
	// minInterruption is the time between two steps of the control state from which
	// on the process counts as interrupted: suspended, frozen or without processor
	// time.
	minInterruption = 2 * idleTick
	// openJobsPollInterval is how often a planned stop checks for open jobs.
	openJobsPollInterval = 10 * time.Millisecond
	// peerAnswerGrace is how long a planned stop leaves for the last answers to
	// other entries to be sent.
	peerAnswerGrace = 100 * time.Millisecond
	// stopMargin is what a planned stop leaves of its time when it stops waiting for
	// callers' connections, for the last answers and the write of its row.
	stopMargin = 500 * time.Millisecond
	// leaveTimeout bounds the write that marks a stopped entry's row as leaving.
	leaveTimeout = time.Second
	// pingResponseWait is how long PingAgents waits for the reports of agents.
	pingResponseWait = 200 * time.Millisecond
	// eventQueueLength is the capacity of the control goroutine's event queue.
	eventQueueLength = 4096
	// maxEventBatch bounds the number of events in one control step.
	maxEventBatch = 512
)

// Entry is a running entry.
type Entry struct {
	settings    process.Entry
	options     Options
	incarnation string
	log         *zap.Logger
	counters    *counters.Set
	refusals    refusals.Recorder
	started     time.Duration // reading of clock.SinceBoot
	suspensions clock.Suspensions

	events       chan caller.Event
	inspections  chan inspection
	tickets      tickets
	rosterWrites chan caller.WriteRoster
	openJobs     atomic.Int64
	// usableAgents is the number of agents that claimed jobs can use.
	usableAgents expvar.Int
	// reachableAgents is the number of agents that repeatable jobs can use.
	reachableAgents expvar.Int
	stopping        atomic.Bool
	entriesWake     chan struct{} // holds a signal while the live entries may have changed
	requestKeys     atomic.Uint64 // number of keys that RequestKey has returned

	links     *agent.Links
	table     platform.Table
	health    *platform.Health
	claims    *platform.Claims
	rosters   *platform.Rosters
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
	readyListener    net.Listener // for the balancer's readiness checks; nil without them
	callerServer     *h2c.Service

	ctx            context.Context
	cancel         context.CancelFunc
	supervisorDone <-chan error
	actionCalls    sync.WaitGroup
}

// Options replaces the interfaces of an entry to other systems. With the zero
// value the entry uses the product's own interfaces.
type Options struct {
	// Table is the table service; nil means the one in the settings.
	Table platform.Table
	// Source is the store in which operators keep the configuration; nil means the
	// table.
	Source platform.Source
	// CallerHandler returns the handler that is served on the caller address
	// instead of the caller API. The caller API's paths below /v1/jobs/ are then
	// served on the operator address. Nil means the caller API.
	CallerHandler func(*Entry) http.Handler
	// CallerBodyBytes is the largest body on the caller address unless the
	// configuration has another limit; 0 means that of the caller API.
	CallerBodyBytes int64
	// CallerRefusal returns the body of the response to a request on the caller address
	// that is refused before its handler runs; nil means a refusal of the caller API.
	CallerRefusal func(status int, detail string) (contentType string, body []byte)
	// ReadinessHandler returns the handler of the balancer's readiness checks,
	// which is served on the ready address of the adapter's settings. Nil means no
	// readiness checks.
	ReadinessHandler func(*Entry) http.Handler
}

// inspection is a request to run a function on the control goroutine.
type inspection struct {
	inspect func(*caller.State)
	done    chan struct{} // closed when inspect has returned
}

// Start binds the entry's addresses and runs it until Close.
func Start(s process.Entry, log *zap.Logger, o Options) (*Entry, error) {
	s = s.WithDefaults()
	e := &Entry{
		options:      o,
		settings:     s,
		incarnation:  s.ID + "." + rand.Text()[:10],
		log:          log,
		counters:     counters.New(),
		started:      clock.SinceBoot(),
		events:       make(chan caller.Event, eventQueueLength),
		inspections:  make(chan inspection),
		rosterWrites: make(chan caller.WriteRoster, 1),
		entriesWake:  make(chan struct{}, 1),
	}
	e.refusals.Counters, e.refusals.Log = e.counters, log
	for _, v := range admission.Verdicts() {
		e.counters.Admission.Add(v.String(), 0)
	}
	if err := e.bindListeners(); err != nil {
		return nil, err
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.createClients()
	supervisorDone, err := e.startServices()
	if err != nil {
		e.cancel()
		return nil, err
	}
	e.supervisorDone = supervisorDone
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

// PeerAddress returns the address at which agents and other entries reach the
// entry.
func (e *Entry) PeerAddress() string { return e.peerListener.Addr().String() }

// Incarnation returns the unique name of this run of the entry.
func (e *Entry) Incarnation() string { return e.incarnation }

// Reload applies the settings that can change while the entry runs: the seeds.
func (e *Entry) Reload(s process.Entry) { e.directory.SetSeeds(s.Seeds) }

// Close stops the entry immediately and waits until its goroutines have ended.
func (e *Entry) Close() {
	e.cancel()
	<-e.supervisorDone
	e.actionCalls.Wait()
	e.links.Wait()
	e.table.Close()
	e.peers.HTTP.CloseIdleConnections()
}

// createClients creates the clients of agents, other entries and the table
// service, and registers their counters. It doesn't open connections.
func (e *Entry) createClients() {
	e.links = &agent.Links{EntryIncarnation: e.incarnation, EntryAddress: e.PeerAddress(), Entries: e.regionEntries, Listener: (*listener)(e), Log: e.log, Meter: &e.agentMeter}
	e.table = e.options.Table
	if e.table == nil {
		e.table = platform.NewTableClient(e.settings.TableAddress, &e.tableMeter)
	}
	e.health = &platform.Health{Emit: e.emit}
	e.claims = platform.NewClaims(e.table, e.health, e.log, e.emit, e.countRetry)
	e.rosters = &platform.Rosters{Table: e.table, Incarnation: e.incarnation, Log: e.log, Emit: e.emit}
	e.directory = &platform.Directory{Table: e.table, Self: e.selfPeer(), Log: e.log, Emit: e.emit}
	e.peers = &peer.Client{
		Incarnation: e.incarnation,
		Directory:   e.directory,
		HTTP:        h2c.NewClient(true, &e.peerMeter),
		Log:         e.log,
		Emit:        e.emit,
	}
	e.joiner = &peer.Joiner{Client: e.peers, AddAgent: e.AddAgent}
	e.directory.OnEntriesChanged = func() {
		e.joiner.Wake()
		e.wakeEntriesSender()
	}
	e.directory.SetSeeds(e.settings.Seeds)
	e.config = &platform.Config{
		Table:  e.table,
		Health: e.health,
		Peers:  e.peers,
		Log:    e.log,
		Emit:   e.emitConfiguration,
		Now:    e.Now,
		Source: e.options.Source,
	}
	e.counters.Agents.Set("usable", &e.usableAgents)
	e.counters.Agents.Set("reachable", &e.reachableAgents)
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

// selfPeer returns the description of this entry that other entries receive.
func (e *Entry) selfPeer() platform.Peer {
	return platform.Peer{
		Incarnation: e.incarnation,
		ID:          e.settings.ID,
		Zone:        e.settings.Zone,
		Region:      e.settings.Region,
		Address:     e.PeerAddress(),
	}
}

// startServices starts the servers and background loops of the entry under a
// supervisor. The returned channel receives a value when the supervisor has ended.
func (e *Entry) startServices() (<-chan error, error) {
	callerHandler, err := rest.NewServer(e)
	if err != nil {
		return nil, err
	}
	operatorHandler, err := operator.NewServer(&operator.Handler{
		Self:      e.selfPeer(),
		Control:   e,
		Config:    e.config,
		Health:    e.health,
		Peers:     e.peers,
		NewEditID: rand.Text,
	}, e.counters)
	if err != nil {
		return nil, err
	}
	peerHandler := http.NewServeMux()
	peerHandler.Handle(wirepb.NewEntryPeerHandler(&peer.Server{
		Incarnation: e.incarnation,
		Control:     e,
		Directory:   e.directory,
		Config:      e.config,
	}, peerHandlerOptions()))
	supervisor := supervise.New("entry", e.log)
	supervisor.Add(supervise.Func(e.runControl))
	supervisor.Add(supervise.Func(e.claims.ServeWrites))
	supervisor.Add(supervise.Func(e.claims.ServeReads))
	supervisor.Add(supervise.Func(e.directory.Serve))
	supervisor.Add(supervise.Func(e.joiner.Serve))
	supervisor.Add(supervise.Func(e.sendEntries))
	supervisor.Add(supervise.Func(e.config.Serve))
	supervisor.Add(supervise.Func(e.writeRosters))
	if e.options.CallerHandler != nil {
		mux := http.NewServeMux()
		mux.Handle("/", operatorHandler)
		mux.Handle("/v1/jobs/", callerHandler)
		operatorHandler, callerHandler = mux, e.options.CallerHandler(e)
	}
	e.addServers(supervisor, callerHandler, operatorHandler, peerHandler)
	return supervisor.ServeBackground(e.ctx), nil
}

// emit queues an event for the control goroutine. It blocks while the queue is
// full.
func (e *Entry) emit(ev caller.Event) {
	select {
	case e.events <- ev:
	case <-e.ctx.Done():
	}
}

// writeRosters writes the rosters from rosterWrites, one at a time.
func (e *Entry) writeRosters(ctx context.Context) error {
	for {
		select {
		case w := <-e.rosterWrites:
			e.rosters.Write(ctx, w)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

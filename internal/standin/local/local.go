// Package local runs the whole system in one process on loopback addresses:
// entries, agents, a stand-in table service and stand-in endpoints.
package local

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	agenthost "github.com/savorystair/savorystair/internal/agent/host"
	entryhost "github.com/savorystair/savorystair/internal/entry/host"
	"github.com/savorystair/savorystair/internal/settings/process"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
	"github.com/savorystair/savorystair/internal/standin/table"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

const (
	loopback = "127.0.0.1:0"
	region   = "local"
	// readyPollInterval is the interval at which Start checks whether the system
	// is ready.
	readyPollInterval = 20 * time.Millisecond
	// readyTimeout bounds the wait for the system to be ready.
	readyTimeout = 10 * time.Second
)

// Options configure the system. The zero value gives one entry on free ports and
// three agents, in three availability zones.
type Options struct {
	// CallerAddress and OperatorAddress are those of the first entry.
	CallerAddress   string
	OperatorAddress string
	Entries         int
	Agents          int
	Slots           int
	Service         string
	Table           table.Options
	// Speed returns the speed of an agent's endpoint; nil means 1 for each.
	Speed func(agent int) float64
	// FailAll reports whether an agent's endpoint fails every task; nil means
	// that none does.
	FailAll func(agent int) bool
	// QueuePerSlot is the agents' setting of that name; nil means the default.
	QueuePerSlot *float64
}

// System is a running system.
type System struct {
	Entries   []*entryhost.Entry
	Agents    []*agenthost.Agent
	Endpoints []*endpoint.Endpoint
	Table     *table.Table

	tableCancel context.CancelFunc
	tableDone   chan struct{}
}

// withDefaults returns the options with defaults in place of the unset ones.
func (o Options) withDefaults() Options {
	setDefaultString(&o.CallerAddress, loopback)
	setDefaultString(&o.OperatorAddress, loopback)
	setDefaultString(&o.Service, "sample")
	setDefaultInt(&o.Entries, 1)
	setDefaultInt(&o.Agents, 3)
	setDefaultInt(&o.Slots, 8)
	return o
}

// Start starts a system and returns once every entry can use every agent.
func Start(ctx context.Context, o Options, log *zap.Logger) (*System, error) {
	o = o.withDefaults()
	s := &System{Table: table.New(o.Table)}
	if err := s.start(ctx, o, log); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context, o Options, log *zap.Logger) error {
	tableAddress, err := s.serveTable()
	if err != nil {
		return err
	}
	var entries []string
	for i := range o.Entries {
		e, err := s.startEntry(i, o, tableAddress, log)
		if err != nil {
			return err
		}
		entries = append(entries, e.PeerAddress())
	}
	for i := range o.Agents {
		if err := s.startAgent(i, o, entries, log); err != nil {
			return err
		}
	}
	return s.waitReady(ctx)
}

// serveTable serves the stand-in table and returns its address.
func (s *System) serveTable() (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("listen for the table service: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.tableCancel = cancel
	s.tableDone = make(chan struct{})
	go func() {
		defer close(s.tableDone)
		// Serve returns when its context ends.
		_ = h2c.NewService(ln, s.Table.Handler()).Serve(ctx)
	}()
	return ln.Addr().String(), nil
}

func (s *System) startEntry(i int, o Options, tableAddress string, log *zap.Logger) (*entryhost.Entry, error) {
	settings := process.Entry{
		ID:              fmt.Sprintf("entry-%d", i),
		Region:          region,
		Zone:            zoneName(i),
		CallerAddress:   loopback,
		OperatorAddress: loopback,
		PeerAddress:     loopback,
		TableAddress:    tableAddress,
	}
	if i == 0 {
		settings.CallerAddress = o.CallerAddress
		settings.OperatorAddress = o.OperatorAddress
	}
	e, err := entryhost.Start(settings, log.With(zap.String("process", settings.ID)), entryhost.Options{})
	if err != nil {
		return nil, err
	}
	s.Entries = append(s.Entries, e)
	return e, nil
}

func (s *System) startAgent(i int, o Options, entries []string, log *zap.Logger) error {
	settings := process.Agent{
		ID:              fmt.Sprintf("agent-%d", i),
		Zone:            zoneName(i),
		LinkAddress:     loopback,
		EndpointAddress: loopback,
		Entries:         entries,
		QueuePerSlot:    o.QueuePerSlot,
	}
	a, err := agenthost.Start(settings, log.With(zap.String("process", settings.ID)), agenthost.Options{})
	if err != nil {
		return err
	}
	s.Agents = append(s.Agents, a)
	speed := 1.0
	if o.Speed != nil {
		speed = o.Speed(i)
	}
	failAll := o.FailAll != nil && o.FailAll(i)
	e, err := endpoint.Start(endpoint.Options{
		Address:      loopback,
		AgentAddress: a.EndpointAddress(),
		Service:      o.Service,
		Slots:        o.Slots,
		Speed:        speed,
		FailAll:      failAll,
	})
	if err != nil {
		return err
	}
	s.Endpoints = append(s.Endpoints, e)
	return nil
}

// waitReady waits until every entry has a link to every agent and may send it
// tasks.
func (s *System) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.allReady() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for the system to be ready: %w", ctx.Err())
		}
	}
	return nil
}

func (s *System) allReady() bool {
	for _, e := range s.Entries {
		if e.UsableAgents() < len(s.Agents) {
			return false
		}
	}
	return true
}

// Stop makes a planned stop of every process. Agents are stopped last, since the
// open jobs of the entries need them.
func (s *System) Stop(ctx context.Context) error {
	var errs []error
	for _, e := range s.Entries {
		errs = append(errs, e.Stop(ctx))
	}
	for _, a := range s.Agents {
		errs = append(errs, a.Stop(ctx))
	}
	return errors.Join(errs...)
}

// Close ends every process without waiting for work in flight.
func (s *System) Close() {
	for _, e := range s.Entries {
		e.Close()
	}
	for _, e := range s.Endpoints {
		e.Close()
	}
	for _, a := range s.Agents {
		a.Close()
	}
	if s.tableCancel != nil {
		s.tableCancel()
		<-s.tableDone
	}
}

// zoneName returns the availability zone of the entry or agent with an index:
// zone-a, zone-b or zone-c in rotation.
func zoneName(i int) string { return "zone-" + string(rune('a'+i%3)) }

func setDefaultString(field *string, value string) {
	if *field == "" {
		*field = value
	}
}

func setDefaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

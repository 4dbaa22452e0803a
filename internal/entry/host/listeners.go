package host

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/thejerf/suture/v4"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/rest"
	"github.com/savorystair/savorystair/internal/settings/document"
	"github.com/savorystair/savorystair/internal/transport/budget"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// maxPeerMessageBytes bounds the messages of agents and other entries, also after
// decompression. The largest hold the description of an agent.
const maxPeerMessageBytes = 1 << 20

// bindListeners opens the listeners of the entry, or none.
func (e *Entry) bindListeners() error {
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
	if e.options.ReadinessHandler != nil && e.settings.Adapter != nil {
		e.readyListener = bind("ready_address", e.settings.Adapter.ReadyAddress)
	}
	if len(errs) > 0 {
		closeListeners(e.callerListener, e.operatorListener, e.peerListener, e.readyListener)
	}
	return errors.Join(errs...)
}

// closeListeners closes those listeners that were opened.
func closeListeners(listeners ...net.Listener) {
	for _, ln := range listeners {
		if ln != nil {
			// Nothing was accepted yet, so the error does not matter.
			_ = ln.Close()
		}
	}
}

// addServers adds the servers of the entry's listeners to a supervisor. They share one
// budget.
func (e *Entry) addServers(supervisor *suture.Supervisor, callers, operators, peers http.Handler) {
	guard := &h2c.Guard{OnRefusal: e.refusals.Record}
	guard.SetLimits(e.settings.TransportLimits())
	callerRefusal := e.options.CallerRefusal
	if callerRefusal == nil {
		callerRefusal = rest.RefusalBody
	}
	e.callerServer = h2c.NewLimitedService(e.callerListener, callers, h2c.ServiceOptions{
		Guard: guard, Name: "callers", Limits: e.callerLimits(document.LimitsSection{}), HTTP1Only: true, RefusalBody: callerRefusal,
	})
	supervisor.Add(e.callerServer)
	supervisor.Add(h2c.NewLimitedService(e.operatorListener, operators, h2c.ServiceOptions{
		Guard: guard, Name: "operators", Limits: e.settings.OperatorLimits(), HTTP1Only: true, RefusalBody: rest.RefusalBody,
	}))
	if e.readyListener != nil {
		supervisor.Add(h2c.NewLimitedService(e.readyListener, e.options.ReadinessHandler(e), h2c.ServiceOptions{
			Guard: guard, Name: "readiness", Limits: e.settings.ReadinessLimits(), HTTP1Only: true, RefusalBody: callerRefusal,
		}))
	}
	supervisor.Add(h2c.NewLimitedService(e.peerMeter.Listener(e.peerListener), peers, h2c.ServiceOptions{
		Guard: guard, Name: "peers", Limits: e.settings.PeerLimits(),
	}))
}

// peerHandlerOptions returns the options of the handler of calls by agents and other
// entries.
func peerHandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(h2c.HandlerOptions(), connect.WithReadMaxBytes(maxPeerMessageBytes))
}

// callerLimits returns the limits of the caller listener with those of the
// configuration.
func (e *Entry) callerLimits(l document.LimitsSection) budget.ListenerLimits {
	limits := e.settings.CallerLimits()
	head, body := int64(l.MaxHeaderBytes), int64(l.MaxBodyBytes)
	if body == 0 {
		body = e.options.CallerBodyBytes
	}
	if body == 0 {
		body = limits.BodyBytes()
	}
	return limits.WithSizes(head, body).
		WithTimeouts(time.Duration(l.HeaderTimeoutMS)*time.Millisecond, time.Duration(l.IdleTimeoutMS)*time.Millisecond)
}

// emitConfiguration queues an event of the configuration for the control goroutine. The
// limits of a new document apply at once.
func (e *Entry) emitConfiguration(ev caller.Event) {
	if loaded, ok := ev.(caller.ConfigurationLoaded); ok {
		e.callerServer.SetLimits(e.callerLimits(loaded.Document.Limits()))
	}
	e.emit(ev)
}

// MaxJobTasks returns the largest number of steps and of tasks of a job.
func (e *Entry) MaxJobTasks() int { return e.settings.MaxJobTasks }

// RecordTooManyTasks counts and logs a job that has more tasks than MaxJobTasks.
func (e *Entry) RecordTooManyTasks() {
	e.refusals.Record(h2c.Refusal{Listener: "callers", Reason: budget.TooManyTasks})
}

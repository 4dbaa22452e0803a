package h2c

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/savorystair/savorystair/internal/transport/budget"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// maxHeadBytes is the limit of net/http on heads of HTTP/1. The limits of listeners,
	// which can change, are lower.
	maxHeadBytes = 1 << 20
	// maxStreamsPerConn is how many concurrent calls a server accepts on one
	// connection, within the limit for all connections. An entry may wait for the answers
	// of as many jobs at another one.
	maxStreamsPerConn = 1024
	// streamWindowBytes bounds what the calls on one connection may have sent before it
	// is read.
	streamWindowBytes = 256 << 10
	// headerTableBytes bounds the table for the compression of headers of a connection,
	// as the protocol's default does.
	headerTableBytes = 4096
	// drainPollInterval is how often Drain checks for open connections.
	drainPollInterval = 10 * time.Millisecond
)

// ServiceOptions are the options of a service. The zero value has the default limits.
type ServiceOptions struct {
	// Guard holds the budget of the process; nil means one for this service alone.
	Guard *Guard
	// Name names the listener in refusals.
	Name   string
	Limits budget.ListenerLimits
	// HTTP1Only is set for a listener whose clients don't use HTTP/2.
	HTTP1Only bool
	// RefusalBody returns the body of the response to a request that is refused; nil
	// means plain text.
	RefusalBody func(status int, detail string) (contentType string, body []byte)
}

// Service serves a handler on a listener, over HTTP/1.1 and HTTP/2 on plain
// TCP. The handler gets HTTP/1 requests whose bodies have arrived completely. It
// implements suture.Service.
type Service struct {
	name       string
	listener   net.Listener
	listenerID int
	server     *http.Server
	guard      *Guard
	limits     atomic.Pointer[budget.ListenerLimits]
	http1Only  bool
	refusal    func(status int, detail string) (contentType string, body []byte)
	draining   atomic.Bool
	openConns  atomic.Int64
	openCalls  atomic.Int64 // on HTTP/2 connections
	// messageBytes is the charge for the messages that are being read on openCalls.
	messageBytes atomic.Int64
	requests     openRequests
}

// NewService returns a service for ln with the default limits; Serve starts it.
func NewService(ln net.Listener, handler http.Handler) *Service {
	return NewLimitedService(ln, handler, ServiceOptions{})
}

// NewLimitedService returns a service for ln with the given options; Serve starts it.
func NewLimitedService(ln net.Listener, handler http.Handler, o ServiceOptions) *Service {
	s := &Service{name: o.Name, guard: o.Guard, http1Only: o.HTTP1Only, refusal: o.RefusalBody}
	if s.guard == nil {
		s.guard = &Guard{}
	}
	s.limits.Store(&o.Limits)
	s.listenerID = s.guard.addListener(o.Limits)
	s.listener = &guardedListener{Listener: ln, service: s}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(!o.HTTP1Only)
	s.server = &http.Server{
		Handler:   s.limitRequests(s.requests.handler(s.closeConnsWhenDraining(handler))),
		Protocols: &protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          min(maxStreamsPerConn, o.Limits.MaxCalls()),
			MaxReceiveBufferPerConnection: streamWindowBytes,
			MaxReceiveBufferPerStream:     streamWindowBytes,
			MaxDecoderHeaderTableSize:     headerTableBytes,
		},
		MaxHeaderBytes: serverHeadBytes(o),
		ConnState:      s.connStateChanged,
		ConnContext:    withConn,
		ErrorLog:       serverErrors,
	}
	return s
}

// serverHeadBytes returns the limit of net/http on heads. It also bounds the header
// lists of HTTP/2 streams, which a guardedConn doesn't see.
func serverHeadBytes(o ServiceOptions) int {
	if o.HTTP1Only {
		return maxHeadBytes
	}
	return int(o.Limits.HeadBytes())
}

// SetLimits replaces the limits, also for the open connections.
func (s *Service) SetLimits(l budget.ListenerLimits) {
	s.limits.Store(&l)
	s.guard.setListener(s.listenerID, l)
}

func (s *Service) refusalBody(status int, detail string) (contentType string, body []byte) {
	if s.refusal == nil {
		return "text/plain; charset=utf-8", []byte(detail + "\n")
	}
	return s.refusal(status, detail)
}

// closeConnsWhenDraining returns a handler that tells clients to close their
// connection after the response, once the service is draining.
func (s *Service) closeConnsWhenDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (s *Service) connStateChanged(conn net.Conn, state http.ConnState) {
	c, guarded := conn.(*guardedConn)
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateIdle:
		if guarded {
			c.idle()
		}
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
		if guarded {
			s.guard.close(c)
		}
	case http.StateActive:
	}
}

// Serve serves until ctx ends, and then closes the connections without waiting
// for requests in flight.
func (s *Service) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// Errors on closing connections need no handling.
		_ = s.server.Close()
	})
	defer stop()
	err := s.server.Serve(s.listener)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, http.ErrServerClosed):
		return suture.ErrDoNotRestart
	default:
		return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
	}
}

// Drain closes each connection after its next response, and waits until none is
// open or ctx ends. It does not close idle connections: a client may be sending its
// next request over one, which would be lost.
func (s *Service) Drain(ctx context.Context) {
	s.draining.Store(true)
	for s.openConns.Load() > 0 && ctx.Err() == nil {
		// An error only means that ctx has ended.
		_ = pause.For(ctx, drainPollInterval)
	}
}

// Shutdown stops accepting connections, and waits until every request in flight
// has its response or ctx ends.
func (s *Service) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down %s: %w", s.listener.Addr(), err)
	}
	return nil
}

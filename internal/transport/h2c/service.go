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

	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 5 * time.Second
	// maxStreamsPerConn is how many concurrent calls a server accepts on one
	// connection.
	maxStreamsPerConn = 4096
	// drainPollInterval is how often Drain checks for open connections.
	drainPollInterval = 10 * time.Millisecond
)

// Service serves a handler on a listener, over HTTP/1.1 and HTTP/2 on plain
// TCP. It implements suture.Service.
type Service struct {
	listener  net.Listener
	server    *http.Server
	draining  atomic.Bool
	openConns atomic.Int64
	requests  openRequests
}

// NewService returns a service for ln; Serve starts it.
func NewService(ln net.Listener, handler http.Handler) *Service {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Service{listener: ln}
	s.server = &http.Server{
		Handler:           s.requests.handler(s.closeConnsWhenDraining(handler)),
		Protocols:         &protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConn},
		ReadHeaderTimeout: headerTimeout,
		ConnState:         s.countConn,
		ConnContext:       withConn,
	}
	return s
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

func (s *Service) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	case http.StateActive, http.StateIdle:
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

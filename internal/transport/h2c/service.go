package h2c

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"
)

const (
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 5 * time.Second
	// maxStreamsPerConn is how many concurrent calls a server accepts on one
	// connection.
	maxStreamsPerConn = 4096
)

// Service serves a handler on a listener, over HTTP/1.1 and HTTP/2 on plain
// TCP. It implements suture.Service.
type Service struct {
	listener net.Listener
	server   *http.Server
}

// NewService returns a service for ln; Serve starts it.
func NewService(ln net.Listener, handler http.Handler) *Service {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Service{
		listener: ln,
		server: &http.Server{
			Handler:           handler,
			Protocols:         &protocols,
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConn},
			ReadHeaderTimeout: headerTimeout,
		},
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

// DisableKeepAlives disables HTTP keep-alives, so that clients do not reuse their
// connections for further requests.
func (s *Service) DisableKeepAlives() { s.server.SetKeepAlivesEnabled(false) }

// Shutdown stops accepting connections, and waits until every request in flight
// has its response or ctx ends.
func (s *Service) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down %s: %w", s.listener.Addr(), err)
	}
	return nil
}

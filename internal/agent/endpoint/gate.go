package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errStartExpired is returned for the first write of a request whose task may no
// longer start. No part of the request has been sent then.
var errStartExpired = errors.New("the permission to start the task has expired")

// gatedConn is a connection that checks at the first write of a request whether
// the task may still start. This prevents a late start when the process is
// paused between the decision and the request. The check can't be made when the
// request's body is read: net/http sends the headers before it reads a body
// of an unknown type.
type gatedConn struct {
	net.Conn

	mu      sync.Mutex
	allowed func() bool
}

// Write writes p. It returns errStartExpired for the first write of a request
// whose task may no longer start.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	allowed := c.allowed
	c.allowed = nil
	c.mu.Unlock()
	if allowed != nil && !allowed() {
		return 0, errStartExpired
	}
	return c.Conn.Write(p)
}

// setAllowed sets the check that precedes the next write.
func (c *gatedConn) setAllowed(allowed func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed = allowed
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// gateConns wraps the connections of dial in a gatedConn.
func gateConns(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}

// startGate lets the first write of a request fail unless its task may start.
type startGate struct {
	// closed reports whether the latest connection refused the write. The error of
	// the request need not say so: net/http may return that of the read instead.
	closed atomic.Bool
}

// guard returns a context under which the first write of a request fails unless
// allowed returns true. A nil function allows the write.
func (g *startGate) guard(ctx context.Context, allowed func() bool) context.Context {
	if allowed == nil {
		return ctx
	}
	check := func() bool {
		ok := allowed()
		g.closed.Store(!ok)
		return ok
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*gatedConn); ok {
				conn.setAllowed(check)
			}
		},
	})
}

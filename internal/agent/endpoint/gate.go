package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errNotAllowed ends a request before anything of it was written.
var errNotAllowed = errors.New("the start is not allowed any more")

// gatedConn asks for permission at the first write of a request, so that a
// pause of the process between the decision to start a task and the start
// itself does no harm. A request's body is no place for the question: the
// library sends the headers before it reads a body of a type that it does not
// know.
type gatedConn struct {
	net.Conn

	mu      sync.Mutex
	allowed func() bool
}

// Write writes, unless it is the first of a request that is not allowed.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	allowed := c.allowed
	c.allowed = nil
	c.mu.Unlock()
	if allowed != nil && !allowed() {
		return 0, errNotAllowed
	}
	return c.Conn.Write(p)
}

func (c *gatedConn) ask(allowed func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed = allowed
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// gateConns makes the connections of a dialer gated ones.
func gateConns(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}

// gated returns a context under which a request asks for permission once it has
// its connection. Without allowed it asks for none.
func gated(ctx context.Context, allowed func() bool) context.Context {
	if allowed == nil {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*gatedConn); ok {
				conn.ask(allowed)
			}
		},
	})
}

package h2c

import (
	"context"
	"net"
	"sync"
)

// connTracker records the connections of a client so that all of them can be
// closed. The zero value is ready for use.
type connTracker struct {
	mu     sync.Mutex
	open   []net.Conn
	closed bool
}

// wrapDial returns a dial function that records the connections that the given
// one establishes. After closeAll it fails with net.ErrClosed.
func (c *connTracker) wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			// Nothing was written yet, so the error does not matter.
			_ = conn.Close()
			return nil, net.ErrClosed
		}
		c.open = append(c.open, conn)
		return conn, nil
	}
}

// closeAll closes the recorded connections, including those with open streams.
func (c *connTracker) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.open {
		// The connection is discarded, so the error does not matter.
		_ = conn.Close()
	}
	c.open = nil
}

package h2c

import (
	"context"
	"net"
	"sync"
)

// conns remembers connections, to close them all. The zero value has none.
type conns struct {
	mu     sync.Mutex
	open   []net.Conn
	closed bool
}

func (c *conns) dial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			// Nothing was written to the connection.
			_ = conn.Close()
			return nil, net.ErrClosed
		}
		c.open = append(c.open, conn)
		return conn, nil
	}
}

func (c *conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.open {
		// The connection is given up, whatever state it is in.
		_ = conn.Close()
	}
	c.open = nil
}

package h2c

import (
	"context"
	"expvar"
	"net"
)

// Meter counts the bytes of connections, headers and framing included. The
// zero value counts from zero; a nil meter counts nothing.
type Meter struct {
	In  expvar.Int
	Out expvar.Int
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func (m *Meter) dial(dial dialFunc) dialFunc {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

// Listener counts the bytes of every connection that ln accepts.
func (m *Meter) Listener(ln net.Listener) net.Listener {
	return &meteredListener{Listener: ln, meter: m}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.In.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Out.Add(int64(n))
	return n, err
}

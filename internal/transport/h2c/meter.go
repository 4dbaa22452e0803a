package h2c

import (
	"context"
	"errors"
	"expvar"
	"net"
	"syscall"
)

// Meter counts the bytes received and sent on connections, including headers and
// framing. The zero value is ready for use; a nil meter counts nothing.
type Meter struct {
	In  expvar.Int
	Out expvar.Int
}

// dialFunc is the type of http.Transport.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// wrapDial returns a dial function that counts the bytes of the connections that
// the given one establishes.
func (m *Meter) wrapDial(dial dialFunc) dialFunc {
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

// Listener returns a listener that counts the bytes of the connections that ln
// accepts.
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

// SyscallConn returns the connection that is metered, for checks of unread bytes.
func (c *meteredConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
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

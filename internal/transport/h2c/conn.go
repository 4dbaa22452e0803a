package h2c

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/savorystair/savorystair/internal/transport/budget"
	"github.com/savorystair/savorystair/internal/transport/clock"
)

const (
	// writeChunkBytes is how much is written in one call, so that the progress of a
	// response is noticed.
	writeChunkBytes = 64 << 10
	// lingerTime is how long a connection stays open after a refusal whose request was
	// not read to its end. Closing it at once would reset it, and the client would not
	// see the response.
	lingerTime = 100 * time.Millisecond
	// maxLingering bounds the connections that linger, since they count as open. In a
	// crowd the others are reset.
	maxLingering = 32
	// maxAcceptWait bounds the time in a second for which connections wait at the limit,
	// and acceptPollInterval is how often they are tried again.
	maxAcceptWait      = 200 * time.Millisecond
	acceptPollInterval = 5 * time.Millisecond
	// http2Preface begins a connection that carries HTTP/2.
	http2Preface = "PRI "
)

// longAgo is a deadline that ends reads at once.
var longAgo = time.Now()

// guardedListener returns connections that are guarded, and refuses others.
type guardedListener struct {
	net.Listener
	service *Service

	// Used by the goroutine that accepts connections.
	second time.Duration // whole seconds of the clock
	waited time.Duration // time for which Accept waited at the limit in that second
}

func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &guardedConn{Conn: conn, service: l.service, address: clientAddress(conn)}
		c.inHead.Store(true)
		if reason := l.open(c); reason != budget.None {
			l.service.guard.refused(c, reason)
			l.refuse(c)
			continue
		}
		return c, nil
	}
}

// open adds a connection to the guard. At the limit, it waits until connections that
// clients have closed are removed, but not for long in each second, so that a crowd of
// clients doesn't delay others. Only then others are closed for the connection.
func (l *guardedListener) open(c *guardedConn) budget.Reason {
	for l.service.guard.open(c, false) != budget.None {
		if second := clock.SinceBoot() / time.Second; second != l.second {
			l.second, l.waited = second, 0
		}
		if l.waited >= maxAcceptWait {
			return l.service.guard.open(c, true)
		}
		time.Sleep(acceptPollInterval)
		l.waited += acceptPollInterval
	}
	return budget.None
}

// refuse responds to a connection beyond the limit and closes it. The response fits
// into the empty send buffer, so that the write doesn't block.
func (l *guardedListener) refuse(c *guardedConn) {
	lingering := &l.service.guard.lingering
	if lingering.Add(1) > maxLingering {
		lingering.Add(-1)
		// The connection is discarded, so the error does not matter, as below.
		_ = c.Conn.Close()
		return
	}
	c.writeRefusal(http.StatusServiceUnavailable, "too many open connections")
	time.AfterFunc(lingerTime, func() {
		_ = c.Conn.Close()
		lingering.Add(-1)
	})
}

// guardedConn is a connection of a service. It counts the bytes that are read, bounds
// the size of heads, and notes when a write makes no progress.
type guardedConn struct {
	net.Conn
	service *Service
	address string
	id      budget.ID

	read    atomic.Int64  // bytes read
	writing atomic.Int64  // reading of the clock since when a write is pending, or 0
	reason  atomic.Uint32 // budget.Reason for which the connection is closed
	inHead  atomic.Bool   // whether bytes that are read belong to a head
	stream  atomic.Bool   // whether the connection carries HTTP/2

	// Used by the goroutine that reads heads and runs handlers.
	headBytes int64
	bodyWait  time.Duration
}

func (c *guardedConn) stopped() budget.Reason { return budget.Reason(c.reason.Load()) }

// stop ends the connection. If a body is being read, only the read is ended, so that
// the client gets a response.
func (c *guardedConn) stop(reason budget.Reason, readingBody bool) {
	c.reason.Store(uint32(reason))
	// Errors mean that the connection has ended already.
	if readingBody {
		_ = c.Conn.SetReadDeadline(longAgo)
		return
	}
	_ = c.Conn.Close()
}

// Read reads bytes. It returns io.EOF for a head that is refused.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.read.Add(int64(n))
	// From the end of a head on, net/http reads a single byte in another goroutine, to
	// notice that the client has gone. That can be before inHead is cleared.
	if len(b) > 1 && c.inHead.Load() && !c.acceptHead(b[:n]) {
		return 0, io.EOF
	}
	return n, err
}

// acceptHead accounts for bytes of a head, and reports whether the head is within the
// limits. After it has reported false, the connection is to be closed.
func (c *guardedConn) acceptHead(b []byte) bool {
	first := c.headBytes == 0
	c.headBytes += int64(len(b))
	if first {
		if !c.service.http1Only && len(b) >= len(http2Preface) && string(b[:len(http2Preface)]) == http2Preface {
			c.inHead.Store(false)
			c.stream.Store(true)
			return c.service.guard.setState(c, budget.Stream)
		}
		return c.service.guard.setState(c, budget.Head)
	}
	// Reads for a head may include up to budget.InlineBytes of what follows it.
	if c.headBytes > c.service.limits.Load().HeadBytes()+budget.InlineBytes {
		c.service.guard.refused(c, budget.HeadTooLarge)
		c.writeRefusal(http.StatusRequestHeaderFieldsTooLarge, "the head of the request is too large")
		c.linger()
		return false
	}
	if c.headBytes > budget.InlineBytes {
		// The head is held by the reader and as the fields of the request.
		if reason := c.service.guard.reserve(c, 2*int64(len(b))); reason != budget.None {
			c.service.guard.refused(c, reason)
			c.writeRefusal(http.StatusServiceUnavailable, "too many requests are being read")
			c.linger()
			return false
		}
	}
	return true
}

// Write writes bytes in chunks, and charges them while the client doesn't read them.
func (c *guardedConn) Write(b []byte) (int, error) {
	if len(b) > budget.InlineBytes {
		c.service.guard.charge(c, len(b))
		defer c.service.guard.charge(c, -len(b))
	}
	defer c.writing.Store(0)
	written := 0
	for {
		c.writing.Store(int64(clock.SinceBoot()))
		n, err := c.Conn.Write(b[written:min(len(b), written+writeChunkBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// CloseWrite closes the sending side of the connection.
func (c *guardedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// linger waits until the client has had time to read a refusal.
func (c *guardedConn) linger() {
	// An error means that the client has left.
	_ = c.CloseWrite()
	lingering := &c.service.guard.lingering
	if lingering.Add(1) <= maxLingering {
		time.Sleep(lingerTime)
	}
	lingering.Add(-1)
}

// writeRefusal writes the response to a request that net/http has not read.
func (c *guardedConn) writeRefusal(status int, detail string) {
	contentType, body := c.service.refusalBody(status, detail)
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: 1\r\n"
	}
	// An error means that the client has left.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), contentType, len(body), retryAfter, body)
}

// idle records that the last request has its response.
func (c *guardedConn) idle() {
	if c.stream.Load() {
		return
	}
	c.headBytes, c.bodyWait = 0, 0
	c.inHead.Store(true)
	c.service.guard.setState(c, budget.Idle)
}

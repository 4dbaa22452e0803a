package h2c

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/savorystair/savorystair/internal/transport/budget"
	"github.com/savorystair/savorystair/internal/transport/clock"
)

// maxSegmentBytes bounds the segments in which bodies are buffered. A segment is not
// larger than what has arrived before it, so that a sender is charged for at most
// twice what it has sent.
const maxSegmentBytes = 64 << 10

// BodyWait returns how long the body of a request took after its head. It is 0 for a
// context that doesn't belong to an HTTP/1 request to a Service.
func BodyWait(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*guardedConn)
	if !ok || c.stream.Load() {
		return 0
	}
	return c.bodyWait
}

// ReadBody returns the body of a request. It doesn't copy a body that a Service has
// buffered in one segment.
func ReadBody(r *http.Request) ([]byte, error) {
	buffered, ok := r.Body.(*bufferedBody)
	if !ok {
		return io.ReadAll(r.Body)
	}
	if len(buffered.rest) == 0 {
		return buffered.first, nil
	}
	all := make([]byte, buffered.size)
	if _, err := io.ReadFull(buffered, all); err != nil {
		return nil, err
	}
	return all, nil
}

// ReserveMemory charges a request for what its body takes when it is decoded, until its
// response is written. It returns a *MemoryError if that is refused. Contexts that don't
// belong to an HTTP/1 request to a Service are not charged.
func ReserveMemory(ctx context.Context, bytes int64) error {
	c, ok := ctx.Value(connKey{}).(*guardedConn)
	if !ok || c.stream.Load() {
		return nil
	}
	reason := c.service.guard.reserve(c, bytes)
	if reason == budget.None {
		return nil
	}
	c.service.guard.refused(c, reason)
	return &MemoryError{Reason: reason}
}

// MemoryError reports that the memory for a request was refused.
type MemoryError struct{ Reason budget.Reason }

// Error returns the reason.
func (e *MemoryError) Error() string {
	return e.Reason.String() + ": too many requests are being read; the request was not run"
}

// bufferedBody is a body that has arrived completely, in segments.
type bufferedBody struct {
	first []byte
	rest  [][]byte
	size  int64
	index int // segment that is read next; 0 is first
	at    int // position in it
}

func (b *bufferedBody) segment() []byte {
	if b.index == 0 {
		return b.first
	}
	return b.rest[b.index-1]
}

// Read reads from the segments.
func (b *bufferedBody) Read(p []byte) (int, error) {
	for b.index <= len(b.rest) {
		if n := copy(p, b.segment()[b.at:]); n > 0 || len(p) == 0 {
			b.at += n
			return n, nil
		}
		b.index, b.at = b.index+1, 0
	}
	return 0, io.EOF
}

// Close does nothing.
func (b *bufferedBody) Close() error { return nil }

func (b *bufferedBody) add(segment []byte) {
	if b.size == 0 {
		b.first = segment
	} else {
		b.rest = append(b.rest, segment)
	}
	b.size += int64(len(segment))
}

// refusalError is the reason for which a request is refused before it runs.
type refusalError struct {
	status int
	reason budget.Reason
	detail string
}

// Error returns the detail.
func (e *refusalError) Error() string { return e.detail }

// limitRequests returns a handler that refuses requests over the limits and calls next
// with complete HTTP/1 bodies.
func (s *Service) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*guardedConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.stream.Load() {
			s.serveCall(w, r, c, next)
			return
		}
		c.inHead.Store(false)
		if err := s.receive(c, r); err != nil {
			var refusal *refusalError
			if !errors.As(err, &refusal) {
				refusal = &refusalError{status: http.StatusBadRequest, detail: "body: " + err.Error()}
			}
			s.refuse(w, c, refusal)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// receive checks the head of a request and buffers its body.
func (s *Service) receive(c *guardedConn, r *http.Request) error {
	limits := s.limits.Load()
	switch {
	case r.ProtoMajor != 1:
		return &refusalError{status: http.StatusHTTPVersionNotSupported, detail: "the protocol version is not supported"}
	case c.headBytes > limits.HeadBytes() && headSize(r) > limits.HeadBytes():
		return &refusalError{http.StatusRequestHeaderFieldsTooLarge, budget.HeadTooLarge, "the head of the request is too large"}
	case r.ContentLength > limits.BodyBytes():
		return tooLarge(limits.BodyBytes())
	}
	if r.Body != nil && r.Body != http.NoBody {
		began := clock.SinceBoot()
		if !s.guard.setState(c, budget.Body) {
			return stopError(c)
		}
		body, err := c.readBody(r, limits.BodyBytes())
		if err != nil {
			return err
		}
		r.Body, r.ContentLength, r.TransferEncoding = body, body.size, nil
		c.bodyWait = clock.SinceBoot() - began
	}
	if !s.guard.setState(c, budget.Serving) {
		return stopError(c)
	}
	return nil
}

// headSize returns the size of a request's head, without white space that was removed.
func headSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}

// readBody reads a body of up to limit bytes. Each segment is charged before it is
// allocated, except for the first budget.InlineBytes.
func (c *guardedConn) readBody(r *http.Request, limit int64) (*bufferedBody, error) {
	body := &bufferedBody{}
	remaining := limit + 1 // one byte more shows that a chunked body is over the limit
	if r.ContentLength >= 0 {
		remaining = r.ContentLength
	}
	for remaining > 0 {
		size := min(remaining, max(budget.InlineBytes, min(body.size, maxSegmentBytes)))
		if body.size > 0 {
			reason := c.service.guard.reserve(c, size)
			switch {
			case c.stopped() != budget.None:
				return nil, stopError(c)
			case reason != budget.None:
				return nil, memoryError(reason)
			}
		}
		segment := make([]byte, size)
		n, err := readSegment(r.Body, segment)
		body.add(segment[:n])
		remaining -= int64(n)
		switch {
		case c.stopped() != budget.None:
			return nil, stopError(c)
		case err == io.EOF && r.ContentLength < 0 && body.size <= limit:
			return body, nil
		case err != nil && remaining > 0:
			return nil, err
		}
	}
	if body.size > limit {
		return nil, tooLarge(limit)
	}
	return body, nil
}

// readSegment reads until the segment is full or an error occurs.
func readSegment(from io.Reader, segment []byte) (int, error) {
	n := 0
	for n < len(segment) {
		m, err := from.Read(segment[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func tooLarge(limit int64) error {
	return &refusalError{http.StatusRequestEntityTooLarge, budget.BodyTooLarge, "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
}

func memoryError(reason budget.Reason) error {
	return &refusalError{http.StatusServiceUnavailable, reason, "too many requests are being read; the request was not run"}
}

// stopError returns the refusal of a request whose connection is being closed. The
// guard has recorded it.
func stopError(c *guardedConn) error {
	if c.stopped() == budget.BodyTooSlow {
		return &refusalError{status: http.StatusRequestTimeout, detail: "the body arrived too slowly; the request was not run"}
	}
	return memoryError(budget.None)
}

// refuse responds to a request that was not read completely, and closes its connection.
func (s *Service) refuse(w http.ResponseWriter, c *guardedConn, refusal *refusalError) {
	if refusal.reason != budget.None {
		s.guard.refused(c, refusal.reason)
	}
	contentType, body := s.refusalBody(refusal.status, refusal.detail)
	header := w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Connection", "close")
	if refusal.status == http.StatusServiceUnavailable {
		header.Set("Retry-After", "1")
	}
	w.WriteHeader(refusal.status)
	// Errors mean that the client has left.
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
	c.linger()
	// net/http would read the rest of the body before it closes the connection.
	_ = c.Conn.SetReadDeadline(longAgo)
}

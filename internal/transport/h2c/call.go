package h2c

import (
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/savorystair/savorystair/internal/transport/budget"
)

const (
	// messageStepBytes is the step in which messages are charged. The first one is part
	// of budget.CallBytes.
	messageStepBytes = 16 << 10
	// envelopeBytes is the size of what precedes a message of a streaming call: flags and
	// the length.
	envelopeBytes = 5
)

// errMessagesTooLarge ends a call whose message does not fit beside the messages that
// are being read on other calls.
var errMessagesTooLarge = errors.New("too many bytes of messages are being read")

// serveCall charges an HTTP/2 request while it is served, or refuses it. It doesn't buffer
// the body, which may be a stream.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request, c *guardedConn, next http.Handler) {
	defer s.openCalls.Add(-1)
	if s.openCalls.Add(1) > int64(s.limits.Load().MaxCalls()) {
		s.guard.refused(c, budget.ConnectionLimit)
		http.Error(w, "too many open calls", http.StatusServiceUnavailable)
		return
	}
	s.guard.charge(c, budget.CallBytes)
	defer s.guard.charge(c, -budget.CallBytes)
	if r.Body != nil && r.Body != http.NoBody {
		body := &callBody{ReadCloser: r.Body, service: s, conn: c, envelopes: hasEnvelopes(r)}
		defer body.release()
		r.Body = body
	}
	next.ServeHTTP(w, r)
}

// hasEnvelopes reports whether the body of a call is a series of messages, each with its
// length before it.
func hasEnvelopes(r *http.Request) bool {
	contentType := r.Header.Get("Content-Type")
	return strings.HasPrefix(contentType, "application/connect+") || strings.HasPrefix(contentType, "application/grpc")
}

// callBody is the body of an HTTP/2 request. It charges the message that is being read,
// which its reader holds until it is complete.
type callBody struct {
	io.ReadCloser
	service   *Service
	conn      *guardedConn
	envelopes bool

	mu       sync.Mutex // a handler may return while another goroutine reads
	released bool
	envelope [envelopeBytes]byte
	have     int   // bytes of the envelope
	left     int64 // bytes of the message that have not arrived
	held     int64 // bytes of the message that have arrived
	charged  int64
}

// Read reads from the body. It returns an error if the messages that are being read on
// all calls of the service exceed its limit on bodies.
func (b *callBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.account(p[:n]) {
		b.service.guard.refused(b.conn, budget.MemoryBudget)
		return 0, errMessagesTooLarge
	}
	return n, err
}

// account follows the messages in the bytes that were read, and charges them.
func (b *callBody) account(read []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		return true
	}
	if !b.envelopes {
		b.held += int64(len(read))
		return b.charge()
	}
	for len(read) > 0 {
		if b.left == 0 {
			n := copy(b.envelope[b.have:], read)
			b.have, read = b.have+n, read[n:]
			if b.have < envelopeBytes {
				break
			}
			b.have, b.held = 0, 0
			b.left = int64(binary.BigEndian.Uint32(b.envelope[1:]))
			continue
		}
		n := min(int64(len(read)), b.left)
		b.left, b.held, read = b.left-n, b.held+n, read[n:]
	}
	return b.charge()
}

// charge adapts the charge to what is held. The caller holds the lock.
func (b *callBody) charge() bool {
	want := b.held / messageStepBytes * messageStepBytes
	change := want - b.charged
	if change == 0 {
		return true
	}
	if total := b.service.messageBytes.Add(change); change > 0 && total > b.service.limits.Load().BodyBytes() {
		b.service.messageBytes.Add(-change)
		return false
	}
	b.charged = want
	b.service.guard.charge(b.conn, int(change))
	return true
}

func (b *callBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held, b.released = 0, true
	b.charge()
}

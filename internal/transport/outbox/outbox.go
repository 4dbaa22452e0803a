// Package outbox provides an unbounded queue between a control goroutine and a
// connection, so that the goroutine is never blocked by a slow peer.
package outbox

import (
	"sync"

	"google.golang.org/protobuf/proto"
)

// Outbox is a queue of messages for one connection. It is safe for concurrent
// use. The zero value is not usable; call New.
type Outbox struct {
	mu     sync.Mutex
	queue  []proto.Message
	closed bool
	wake   chan struct{}
}

// New returns an empty queue.
func New() *Outbox {
	return &Outbox{wake: make(chan struct{}, 1)}
}

// Put appends a message. It drops the message once the queue is closed.
func (o *Outbox) Put(m proto.Message) {
	o.mu.Lock()
	if !o.closed {
		o.queue = append(o.queue, m)
	}
	o.mu.Unlock()
	o.signal()
}

// Take waits until there are messages, and removes and returns all of them. It
// returns nil once the queue is closed.
func (o *Outbox) Take() []proto.Message {
	for {
		o.mu.Lock()
		queue, closed := o.queue, o.closed
		o.queue = nil
		o.mu.Unlock()
		if closed {
			o.signal()
			return nil
		}
		if len(queue) > 0 {
			return queue
		}
		<-o.wake
	}
}

// Close makes waiting and later calls of Take return nil. Messages not yet taken
// are dropped.
func (o *Outbox) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
}

// signal wakes one call of Take. A signal that is pending already is enough,
// since Take returns the whole queue.
func (o *Outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

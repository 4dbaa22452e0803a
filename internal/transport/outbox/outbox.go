// Package outbox queues the messages of a control goroutine for a connection,
// so that the goroutine never waits for a slow peer.
package outbox

import (
	"sync"

	"google.golang.org/protobuf/proto"
)

// Outbox is a queue of messages for one connection. It is safe for concurrent
// use; call New.
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

// Take waits for messages and returns all of them. It returns none once the
// queue is closed.
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

// Close wakes those who wait in Take. Messages not yet taken are dropped.
func (o *Outbox) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
}

func (o *Outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

package host

import (
	"context"
	"errors"
	"sync"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// errCallerLeft is the outcome of a submission whose caller has left.
var errCallerLeft = errors.New("the caller left before its job was admitted")

// outcome is the response of the control state to an event with a ticket.
type outcome struct {
	err    error // set if the event was not handled
	answer caller.Answer
	status caller.JobStatus
	known  bool // whether the entry holds the job
}

// waitingCaller is a caller that waits for an outcome.
type waitingCaller struct {
	outcomes chan outcome
	// hasLeft reports whether the caller's connection or context has ended.
	hasLeft func() bool
}

// tickets contains the waiting callers by ticket. The zero value is empty.
type tickets struct {
	mu         sync.Mutex
	lastTicket caller.Ticket
	pending    map[caller.Ticket]waitingCaller
}

// add returns a new ticket and the channel on which its outcome arrives.
func (t *tickets) add(hasLeft func() bool) (caller.Ticket, <-chan outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == nil {
		t.pending = map[caller.Ticket]waitingCaller{}
	}
	t.lastTicket++
	ch := make(chan outcome, 1)
	t.pending[t.lastTicket] = waitingCaller{outcomes: ch, hasLeft: hasLeft}
	return t.lastTicket, ch
}

// hasLeft reports whether the caller of a ticket has left.
func (t *tickets) hasLeft(ticket caller.Ticket) bool {
	t.mu.Lock()
	c, ok := t.pending[ticket]
	t.mu.Unlock()
	return !ok || c.hasLeft()
}

// resolve sends an outcome to the caller of a ticket and removes the ticket. It
// does nothing if the ticket was removed.
func (t *tickets) resolve(ticket caller.Ticket, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.pending[ticket]; ok {
		c.outcomes <- o
		delete(t.pending, ticket)
	}
}

// remove removes a ticket without an outcome.
func (t *tickets) remove(ticket caller.Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, ticket)
}

// count returns the number of waiting callers.
func (t *tickets) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending)
}

// emitAndWait emits an event with a new ticket and waits for the ticket's
// outcome. If ctx ends first, it emits caller.Disconnected.
func (e *Entry) emitAndWait(ctx context.Context, event func(caller.Ticket) caller.Event) (outcome, error) {
	ticket, outcomes := e.tickets.add(func() bool { return ctx.Err() != nil || h2c.Disconnected(ctx) })
	e.emit(event(ticket))
	select {
	case o := <-outcomes:
		return o, o.err
	case <-ctx.Done():
		e.tickets.remove(ticket)
		e.emit(caller.Disconnected{Ticket: ticket})
		return outcome{}, ctx.Err()
	case <-e.ctx.Done():
		return outcome{}, e.ctx.Err()
	}
}

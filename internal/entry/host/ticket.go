package host

import (
	"context"
	"sync"

	"github.com/savorystair/savorystair/internal/entry/caller"
)

// outcome is what a ticket gets. Known says that the entry holds the job.
type outcome struct {
	answer caller.Answer
	peeked caller.Peeked
	known  bool
}

// tickets hold the callers that wait. The zero value holds none.
type tickets struct {
	mu   sync.Mutex
	last caller.Ticket
	open map[caller.Ticket]chan outcome
}

// issue returns a new ticket and where its outcome will come.
func (t *tickets) issue() (caller.Ticket, <-chan outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[caller.Ticket]chan outcome{}
	}
	t.last++
	ch := make(chan outcome, 1)
	t.open[t.last] = ch
	return t.last, ch
}

// settle hands an outcome to a ticket, if its caller still waits.
func (t *tickets) settle(ticket caller.Ticket, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch, ok := t.open[ticket]; ok {
		ch <- o
		delete(t.open, ticket)
	}
}

// drop forgets a ticket.
func (t *tickets) drop(ticket caller.Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, ticket)
}

func (t *tickets) waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// wait hands an event that carries a ticket to the control goroutine, and
// waits for the ticket's outcome.
func (e *Entry) wait(ctx context.Context, key caller.Key, event func(caller.Ticket) caller.Event) (outcome, error) {
	ticket, settled := e.tickets.issue()
	e.emit(event(ticket))
	select {
	case o := <-settled:
		return o, nil
	case <-ctx.Done():
		e.tickets.drop(ticket)
		e.emit(caller.Leave{Ticket: ticket, Key: key})
		return outcome{}, ctx.Err()
	case <-e.ctx.Done():
		return outcome{}, e.ctx.Err()
	}
}

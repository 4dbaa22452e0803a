package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// event is a line of the record: something that clients, minions or the platform saw.
type event struct {
	at     time.Duration // since the record was begun
	kind   string
	fields []string
}

// record keeps what was sent, answered and run, and writes it as text.
type record struct {
	began time.Time

	mu     sync.Mutex
	events []event
	out    io.Writer
}

// add appends an event.
func (r *record) add(kind string, fields ...any) event {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := event{at: time.Since(r.began), kind: kind}
	for _, f := range fields {
		e.fields = append(e.fields, fmt.Sprint(f))
	}
	r.events = append(r.events, e)
	fmt.Fprintf(r.out, "%8.3f s  %-8s %s\n", e.at.Seconds(), kind, strings.Join(e.fields, " "))
	return e
}

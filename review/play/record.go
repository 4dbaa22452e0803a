package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each, and counts
// the breaks of the rule.
type record struct {
	mu        sync.Mutex
	out       io.Writer
	began     time.Time
	broken    int
	completed int
}

func newRecord(out io.Writer) *record { return &record{out: out, began: time.Now()} }

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// addBreak writes a line about a break of the rule, and counts it.
func (r *record) addBreak(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	r.write("BROKEN "+format, args...)
}

// addAnswer writes the answer to a job.
func (r *record) addAnswer(id string, status int, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == 200 && body == `{"state":"completed"}` {
		r.completed++
	}
	r.write("job %s: answered %d %s", id, status, body)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// summary returns how often the rule was broken and how many jobs were completed.
func (r *record) summary() (broken, completed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("broken %d times, %d jobs completed", r.broken, r.completed)
	return r.broken, r.completed
}

// Package rig runs entries and agents as separate processes on loopback addresses,
// against stand-ins for the platform's store, its minions and its clients. The cases of
// the second review use it.
package rig

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run. It is safe
// for concurrent use.
type Record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	broken []string
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Line writes the time, the kind of an event and its details.
func (r *Record) Line(kind, format string, details ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(kind, fmt.Sprintf(format, details...))
}

// Broken writes that a rule was broken.
func (r *Record) Broken(rule, format string, details ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := rule + ": " + fmt.Sprintf(format, details...)
	r.broken = append(r.broken, text)
	r.write("BROKEN", text)
}

func (r *Record) write(kind, text string) {
	// A line that can't be written is missing from the record; the verdict stays.
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %-10s %s\n", time.Since(r.began).Seconds(), kind, strings.TrimSpace(text))
}

// Close closes the file and returns what was broken.
func (r *Record) Close() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The content is complete: lines are written without a buffer.
	_ = r.file.Close()
	return r.broken
}

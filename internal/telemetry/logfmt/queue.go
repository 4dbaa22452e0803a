package logfmt

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is how many lines are queued for a slow writer before further
// ones are dropped. It covers several seconds of log output at the highest rate
// that sampling admits.
const maxQueuedLines = 4096

// Queue writes lines to a writer from its own goroutine, so that a slow writer
// does not block the goroutines that log. Lines are dropped and counted while
// the queue is full.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	writer  sync.WaitGroup

	mu     sync.RWMutex // read-locked while a line is queued, so that Close waits for it
	closed bool
}

// NewQueue returns a queue that writes to w until Close.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines)}
	q.writer.Go(func() {
		for line := range q.lines {
			q.writeBatch(w, line)
		}
	})
	return q
}

// maxWriteBytes limits the lines that are written in one call. Writes of up to this
// size to a pipe are atomic.
const maxWriteBytes = 4096

// writeBatch writes the first line and the lines queued after it, as many as fit in
// each call.
func (q *Queue) writeBatch(w io.Writer, first []byte) {
	batch := first
	for len(q.lines) > 0 {
		line := <-q.lines
		if len(batch)+len(line) > maxWriteBytes {
			writeLog(w, batch)
			batch = nil
		}
		batch = append(batch, line...)
	}
	writeLog(w, batch)
}

// writeLog ignores errors: a log that can't be written can't be reported either.
func writeLog(w io.Writer, lines []byte) { _, _ = w.Write(lines) }

// Write queues a line. After Close it drops the line, since the last connections
// may log their end while the process exits.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since lines are written without further buffering.
func (q *Queue) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes the queued lines and returns when they are written. It may be
// called more than once.
func (q *Queue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	q.writer.Wait()
}

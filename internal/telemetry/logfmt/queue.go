package logfmt

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines wait for a slow reader before further ones are
// dropped: several seconds at the most that the sampling lets through.
const queueLines = 4096

// Queue writes lines to a writer from a goroutine of its own, so that a reader
// that falls behind blocks nobody. Lines that find the queue full are dropped
// and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup

	mu     sync.RWMutex // held for reading while a line is queued
	closed bool
}

// NewQueue returns a queue in front of w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines)}
	q.done.Go(func() {
		for line := range q.lines {
			// There is nowhere to report a log that can't be written.
			_, _ = w.Write(q.gather(line))
		}
	})
	return q
}

// gather adds the lines that wait already, for one write.
func (q *Queue) gather(first []byte) []byte {
	batch := first
	for len(q.lines) > 0 && len(batch) < maxWrite {
		batch = append(batch, <-q.lines...)
	}
	return batch
}

// maxWrite bounds one write, in bytes.
const maxWrite = 32 << 10

// Write queues a line. After Close it drops the line: connections that end last
// log their end when the process has nothing left to wait for.
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

// Sync does nothing: lines are written as soon as the reader takes them.
func (q *Queue) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits and returns.
func (q *Queue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	q.done.Wait()
}

package logfmt_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap/zapcore"

	"github.com/savorystair/savorystair/internal/telemetry/logfmt"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

// TestQueueNeverBlocks checks that a blocked writer does not block the goroutines
// that log, and that each line is either written or counted as dropped.
func TestQueueNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	q := logfmt.NewQueue(w)
	const lines = 20_000
	for i := range lines {
		fmt.Fprintf(q, "line %d\n", i)
	}
	if q.Dropped() == 0 {
		t.Error("no line was dropped, want some")
	}
	close(w.release)
	q.Close()
	if got := int64(strings.Count(w.written.String(), "\n")); got+q.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped, want %d in total", got, q.Dropped(), lines)
	}
}

// sizeRecorder records the size of the largest write.
type sizeRecorder struct{ largest, written int }

func (s *sizeRecorder) Write(p []byte) (int, error) {
	s.largest = max(s.largest, len(p))
	s.written += len(p)
	return len(p), nil
}

// TestWritesFitIntoAPipe checks that queued lines are written in calls that a pipe
// takes whole: lines were lost when a reader took part of a larger write.
func TestWritesFitIntoAPipe(t *testing.T) {
	var w sizeRecorder
	q := logfmt.NewQueue(&w)
	line := append(bytes.Repeat([]byte("x"), 299), '\n')
	for range 2000 {
		_, _ = q.Write(line)
	}
	q.Close()
	if w.largest > 4096 {
		t.Errorf("the largest write has %d bytes, want at most 4096", w.largest)
	}
	if want := 300 * (2000 - int(q.Dropped())); w.written != want {
		t.Errorf("%d bytes were written, want %d", w.written, want)
	}
}

// TestLinesAreBounded checks that the lines of one event are sampled, and that
// this does not suppress the lines of another event.
func TestLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	log := logfmt.New(&out, zapcore.InfoLevel, "entry", "e")
	for range 10_000 {
		log.Info("job finished")
	}
	log.Info("entry stopping")
	if n := strings.Count(out.String(), "\n"); n > 1000 {
		t.Errorf("%d lines were written, want at most 1000", n)
	}
	if !strings.Contains(out.String(), "entry stopping") {
		t.Error("the line of the other event was not written")
	}
}

// TestWriteAfterClose checks that writes during and after Close, as when the
// process exits, do not panic, and that each line is either written or counted as
// dropped.
func TestWriteAfterClose(t *testing.T) {
	var out bytes.Buffer
	q := logfmt.NewQueue(&out)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 1000 {
				fmt.Fprintln(q, "line")
			}
		})
	}
	q.Close()
	q.Close()
	writers.Wait()
	if n := int64(strings.Count(out.String(), "\n")); n+q.Dropped() != 4000 {
		t.Errorf("%d lines written and %d dropped, want 4000 in total", n, q.Dropped())
	}
}

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

// stuck is a writer whose reader takes nothing until it is released.
type stuck struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

// A reader that takes nothing blocks nobody, and lines are dropped and counted.
func TestQueueNeverBlocks(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	q := logfmt.NewQueue(w)
	const lines = 20_000
	for i := range lines {
		fmt.Fprintf(q, "line %d\n", i)
	}
	if q.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(w.release)
	q.Close()
	if got := int64(strings.Count(w.got.String(), "\n")); got+q.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped of %d", got, q.Dropped(), lines)
	}
}

// The lines of one event are bounded, and those of another are written beside.
func TestLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	log := logfmt.New(&out, zapcore.InfoLevel, "entry", "e")
	for range 10_000 {
		log.Info("job finished")
	}
	log.Info("entry stopping")
	if n := strings.Count(out.String(), "\n"); n > 1000 {
		t.Errorf("%d lines", n)
	}
	if !strings.Contains(out.String(), "entry stopping") {
		t.Error("the line of another event is missing")
	}
}

// What still logs when the process ends does no harm.
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
		t.Errorf("%d lines written and %d dropped of 4000", n, q.Dropped())
	}
}

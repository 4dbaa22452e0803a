package h2c

import (
	"io"
	"log"
	"os"
	"sync"
	"time"

	"github.com/savorystair/savorystair/internal/transport/clock"
)

// maxErrorLinesPerSecond bounds what net/http writes about connections, since clients
// cause a line with each violation of the protocol.
const maxErrorLinesPerSecond = 5

// serverErrors receives the errors that net/http logs, of all services of the process.
var serverErrors = log.New(&limitedWriter{to: os.Stderr}, "", log.LstdFlags)

// limitedWriter drops writes beyond maxErrorLinesPerSecond.
type limitedWriter struct {
	to io.Writer

	mu      sync.Mutex
	second  time.Duration // whole seconds of the clock
	written int
}

// Write writes a line or drops it.
func (w *limitedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := clock.SinceBoot() / time.Second; second != w.second {
		w.second, w.written = second, 0
	}
	if w.written >= maxErrorLinesPerSecond {
		return len(line), nil
	}
	w.written++
	return w.to.Write(line)
}

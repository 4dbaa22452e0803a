// Package refusals counts and logs the connections and requests that a process refuses
// because of its limits.
package refusals

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/telemetry/counters"
	"github.com/savorystair/savorystair/internal/transport/budget"
	"github.com/savorystair/savorystair/internal/transport/clock"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// maxLinesPerSecond bounds the lines for each reason. A crowd of clients causes
// thousands of refusals in a second, which only the counters have to show.
const maxLinesPerSecond = 5

// Recorder counts and logs refusals.
type Recorder struct {
	Counters *counters.Set
	Log      *zap.Logger

	mu      sync.Mutex
	second  time.Duration // whole seconds of the clock
	written map[budget.Reason]int
	dropped map[budget.Reason]int // lines that were not written since the last one
}

// Record counts a refusal, and logs it unless there were many in this second.
func (r *Recorder) Record(x h2c.Refusal) {
	r.Counters.RefusalsTransport.Add(x.Reason.String(), 1)
	write, dropped := r.admitLine(x.Reason)
	if !write {
		return
	}
	r.Log.Info("request or connection refused", zap.Stringer("reason", x.Reason), zap.String("listener", x.Listener),
		zap.String("address", x.Address), zap.Int64("charged", x.Charged), zap.Int64("age_ms", x.Age.Milliseconds()),
		zap.Int64("charged_total", x.Total), zap.Int("connections", x.Conns), zap.Int("not_logged", dropped))
}

// admitLine reports whether a line may be written, and how many were not before it.
func (r *Recorder) admitLine(reason budget.Reason) (write bool, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if second := clock.SinceBoot() / time.Second; second != r.second || r.written == nil {
		r.second, r.written = second, map[budget.Reason]int{}
	}
	if r.dropped == nil {
		r.dropped = map[budget.Reason]int{}
	}
	if r.written[reason] >= maxLinesPerSecond {
		r.dropped[reason]++
		return false, 0
	}
	r.written[reason]++
	dropped, r.dropped[reason] = r.dropped[reason], 0
	return true, dropped
}

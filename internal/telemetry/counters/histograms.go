package counters

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the greatest time that a histogram tells apart from greater ones.
	maxRecorded = time.Minute
	// significantDigits keeps a histogram below 3 KB.
	significantDigits = 1
)

// Histograms holds histograms of times, by name, and is an expvar.Var. It is safe for
// concurrent use. The number of names must be bounded by the caller. The zero value has
// no histograms.
type Histograms struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// Record adds a time, in steps of 1 ms.
func (h *Histograms) Record(name string, t time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byName == nil {
		h.byName = map[string]*hdrhistogram.Histogram{}
	}
	histogram := h.byName[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxRecorded.Milliseconds(), significantDigits)
		h.byName[name] = histogram
	}
	// The value is within the range of the histogram.
	_ = histogram.RecordValue(min(t, maxRecorded).Milliseconds())
}

// String returns the count and quantiles of each histogram as JSON.
func (h *Histograms) String() string {
	type summary struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50_ms"`
		P90   int64 `json:"p90_ms"`
		P99   int64 `json:"p99_ms"`
		Max   int64 `json:"max_ms"`
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string]summary{}
	for name, histogram := range h.byName {
		all[name] = summary{
			Count: histogram.TotalCount(),
			P50:   histogram.ValueAtQuantile(50),
			P90:   histogram.ValueAtQuantile(90),
			P99:   histogram.ValueAtQuantile(99),
			Max:   histogram.Max(),
		}
	}
	// A map of plain numbers can be encoded.
	text, _ := json.Marshal(all)
	return string(text)
}

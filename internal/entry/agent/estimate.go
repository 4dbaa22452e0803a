package agent

import "time"

const (
	// weight is the share of a new run time in the moving average.
	weight = 0.1
	// maxKinds bounds the kinds that are told apart; the others share the
	// mean.
	maxKinds = 256
)

// estimates are moving averages of run times. The zero value knows nothing.
type estimates struct {
	mean   time.Duration
	byKind map[string]time.Duration
}

func (e *estimates) add(kind string, took time.Duration) {
	e.mean = average(e.mean, took)
	if e.byKind == nil {
		e.byKind = map[string]time.Duration{}
	}
	old, known := e.byKind[kind]
	if known || len(e.byKind) < maxKinds {
		e.byKind[kind] = average(old, took)
	}
}

func (e *estimates) of(kind string) (time.Duration, bool) {
	t, ok := e.byKind[kind]
	return t, ok
}

func average(old, latest time.Duration) time.Duration {
	if old == 0 {
		return latest
	}
	return time.Duration((1-weight)*float64(old) + weight*float64(latest))
}

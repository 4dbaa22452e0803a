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
	byKind map[string]estimate
}

// estimate is what is known of one kind of task.
type estimate struct {
	took time.Duration
	// ratio is the run time as a multiple of the declared one, 0 if none of
	// the tasks declared any.
	ratio float64
}

func (e *estimates) add(kind string, took, declared time.Duration) {
	e.mean = average(e.mean, took)
	if e.byKind == nil {
		e.byKind = map[string]estimate{}
	}
	old, known := e.byKind[kind]
	if !known && len(e.byKind) >= maxKinds {
		return
	}
	old.took = average(old.took, took)
	if declared > 0 {
		ratio := float64(took) / float64(declared)
		if old.ratio == 0 {
			old.ratio = ratio
		}
		old.ratio += weight * (ratio - old.ratio)
	}
	e.byKind[kind] = old
}

// of returns the expected run time of a task, if its kind is known. A declared
// time tells long tasks of a kind from short ones.
func (e *estimates) of(kind string, declared time.Duration) (time.Duration, bool) {
	known, ok := e.byKind[kind]
	if ok && declared > 0 && known.ratio > 0 {
		return time.Duration(known.ratio * float64(declared)), true
	}
	return known.took, ok
}

func average(old, latest time.Duration) time.Duration {
	if old == 0 {
		return latest
	}
	return time.Duration((1-weight)*float64(old) + weight*float64(latest))
}

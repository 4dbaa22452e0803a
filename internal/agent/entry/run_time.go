package entry

import (
	"cmp"
	"time"
)

const (
	// minRatioSamples is how many run times a runTimeRatio needs before it has a
	// value.
	minRatioSamples = 3
	// latestRatioWeight is the weight of the latest run time in a runTimeRatio of
	// many.
	latestRatioWeight = 0.1
	// defaultRunTime is the expected run time of a task that declares none before any
	// run time was measured.
	defaultRunTime = 100 * time.Millisecond
)

// runTimeRatio is the moving average of run times divided by the declared ones.
// It tells entries how fast the endpoint is, also those that have sent it few
// tasks. The zero value has no samples.
type runTimeRatio struct {
	average float64
	samples int
}

// add adds the run time of a task. A task without a declared run time does not
// count.
func (a *runTimeRatio) add(runTime, declared time.Duration) {
	if declared <= 0 {
		return
	}
	a.samples++
	weight := max(latestRatioWeight, 1/float64(a.samples))
	a.average += weight * (float64(runTime)/float64(declared) - a.average)
}

// value returns the average, or 0 if there are too few samples.
func (a *runTimeRatio) value() float32 {
	if a.samples < minRatioSamples {
		return 0
	}
	return float32(a.average)
}

// recordRunTime adds the run time of a task that succeeded to the averages, unless the
// endpoint was replaced since its start.
func (s *State) recordRunTime(r *taskRecord) {
	if r.endpoint != s.endpoint.Number {
		return
	}
	s.runTimeRatio.add(r.took, r.declared)
	if s.meanRunTime == 0 {
		s.meanRunTime = r.took
	}
	s.meanRunTime += time.Duration(latestRatioWeight * float64(r.took-s.meanRunTime))
}

// expectedRunTime returns the expected run time of a task: the declared one times the
// measured ratio, or the mean for a task that declares none.
func (s *State) expectedRunTime(r *taskRecord) time.Duration {
	if r.declared <= 0 {
		return cmp.Or(s.meanRunTime, defaultRunTime)
	}
	ratio := cmp.Or(float64(s.runTimeRatio.value()), 1)
	return time.Duration(ratio * float64(r.declared))
}

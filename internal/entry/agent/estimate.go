package agent

import "time"

const (
	// latestWeight is the weight of the latest run time in a moving average.
	latestWeight = 0.1
	// maxTrackedKinds bounds the kinds of task with an average of their own. The
	// run times of further kinds count only towards the mean.
	maxTrackedKinds = 256
)

// runTimeAverages holds moving averages of run times. The zero value holds no
// measurements.
type runTimeAverages struct {
	mean   time.Duration // over all kinds
	byKind map[string]kindAverage
}

// kindAverage holds the moving averages of one kind of task.
type kindAverage struct {
	runTime time.Duration
	// declaredRatio is the run time divided by the declared run time, 0 if no
	// task declared one.
	declaredRatio float64
}

// add adds the run time of one task. A declared run time of 0 means that the
// task declared none.
func (e *runTimeAverages) add(kind string, runTime, declared time.Duration) {
	e.mean = movingAverage(e.mean, runTime)
	if e.byKind == nil {
		e.byKind = map[string]kindAverage{}
	}
	avg, known := e.byKind[kind]
	if !known && len(e.byKind) >= maxTrackedKinds {
		return
	}
	avg.runTime = movingAverage(avg.runTime, runTime)
	if declared > 0 {
		ratio := float64(runTime) / float64(declared)
		if avg.declaredRatio == 0 {
			avg.declaredRatio = ratio
		}
		avg.declaredRatio += latestWeight * (ratio - avg.declaredRatio)
	}
	e.byKind[kind] = avg
}

// expected returns the expected run time of a task, and whether its kind has
// been measured. A declared run time distinguishes long tasks of a kind from
// short ones.
func (e *runTimeAverages) expected(kind string, declared time.Duration) (time.Duration, bool) {
	avg, ok := e.byKind[kind]
	if ok && declared > 0 && avg.declaredRatio > 0 {
		return time.Duration(avg.declaredRatio * float64(declared)), true
	}
	return avg.runTime, ok
}

// movingAverage returns the moving average with the latest value added. An
// average of 0 stands for none.
func movingAverage(average, latest time.Duration) time.Duration {
	if average == 0 {
		return latest
	}
	return time.Duration((1-latestWeight)*float64(average) + latestWeight*float64(latest))
}

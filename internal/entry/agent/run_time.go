package agent

import "time"

const (
	// latestWeight is the weight of the latest run time in a moving average.
	latestWeight = 0.1
	// maxTrackedKinds bounds the number of task kinds that have averages of their
	// own. The run times of further kinds count only towards the mean.
	maxTrackedKinds = 256
)

// runTimeAverages contains moving averages of the run times of tasks. The zero
// value stands for no measurements.
type runTimeAverages struct {
	mean   time.Duration // over all kinds
	byKind map[string]kindAverage
	// declaredRatio is the run time divided by the declared run time, over all
	// kinds; 0 if no task declared one.
	declaredRatio float64
}

// kindAverage contains the moving averages of one kind of task.
type kindAverage struct {
	runTime time.Duration
	// declaredRatio is the run time divided by the declared run time, 0 if no
	// task declared one.
	declaredRatio float64
}

// add adds the run time of one task. A declared run time of 0 means that the
// task declared none.
func (a *runTimeAverages) add(kind string, runTime, declared time.Duration) {
	a.mean = movingAverage(a.mean, runTime)
	if declared > 0 {
		a.declaredRatio = movingRatio(a.declaredRatio, runTime, declared)
	}
	if a.byKind == nil {
		a.byKind = map[string]kindAverage{}
	}
	avg, known := a.byKind[kind]
	if !known && len(a.byKind) >= maxTrackedKinds {
		return
	}
	avg.runTime = movingAverage(avg.runTime, runTime)
	if declared > 0 {
		avg.declaredRatio = movingRatio(avg.declaredRatio, runTime, declared)
	}
	a.byKind[kind] = avg
}

// expected returns the expected run time of a task, and whether its kind has
// been measured. It scales the declared run time, if any, by the measured ratio,
// which distinguishes long tasks of a kind from short ones.
func (a *runTimeAverages) expected(kind string, declared time.Duration) (time.Duration, bool) {
	avg, ok := a.byKind[kind]
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

// movingRatio returns the moving average of the ratio of run times to declared
// run times with the latest one added. An average of 0 stands for none.
func movingRatio(average float64, runTime, declared time.Duration) float64 {
	ratio := float64(runTime) / float64(declared)
	if average == 0 {
		return ratio
	}
	return average + latestWeight*(ratio-average)
}

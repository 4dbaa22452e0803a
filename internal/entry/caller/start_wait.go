package caller

import "time"

// Size is the processor need of a task relative to the mean of its service. The comment
// of each value is its text.
type Size int

//go:generate stringer -type=Size,Width -linecomment -output=start_wait_string.go

// The values of Size.
const (
	Medium Size = iota // medium
	Small              // small
	Large              // large
)

// Width is the number of tasks of a job. The comment of each value is its text.
type Width int

// The values of Width.
const (
	Single   Width = iota // 1
	Narrow                // 2-7
	Wide                  // 8-31
	VeryWide              // 32+
)

const (
	// smallBelow and largeAbove bound medium tasks, relative to the mean. Of needs that
	// are spread evenly up to half above the mean, a quarter each is small and large.
	smallBelow, largeAbove = 0.75, 1.25
	// meanNeedWeight is the weight of a task in the mean need of its service, which
	// follows a change of the load within some hundred tasks.
	meanNeedWeight = 0.01
)

// recordStartWait records how long a task that has a result waited from the first
// submission of its job until its first start, including the way of its messages. Tasks
// that were started more than once, or had to wait for an earlier step, are left out.
func (s *State) recordStartWait(j *job, i int, runTime time.Duration) {
	t := &j.tasks[i]
	dependent := t.Step < len(j.After) && len(j.After[t.Step]) > 0
	if dependent || j.hasRun || j.generation > 1 || t.failedRuns > 0 || t.stalledRuns > 0 {
		return
	}
	submitted := j.arrivedAt - j.WaitedBefore
	s.emit(RecordStartWait{
		Size:  s.queueOf(j.Service).sizeOf(t.Need.CPUMilli),
		Width: widthOf(len(j.tasks)),
		Wait:  max(0, s.now-submitted-runTime),
	})
}

// sizeOf adds a need, in thousandths of a core, to the mean of the service, and returns
// its size. Tasks without a need are medium.
func (q *serviceQueue) sizeOf(need int) Size {
	if need == 0 {
		return Medium
	}
	if q.meanNeed == 0 {
		q.meanNeed = float64(need)
	}
	q.meanNeed += meanNeedWeight * (float64(need) - q.meanNeed)
	switch relative := float64(need) / q.meanNeed; {
	case relative < smallBelow:
		return Small
	case relative > largeAbove:
		return Large
	}
	return Medium
}

func widthOf(tasks int) Width {
	switch {
	case tasks <= 1:
		return Single
	case tasks < 8:
		return Narrow
	case tasks < 32:
		return Wide
	}
	return VeryWide
}

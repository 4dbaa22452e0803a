package caller

import "container/heap"

// noTimer is the place of a job that is not among the deadlines.
const noTimer = -1

// deadlines is a heap of jobs by deadline. The zero value is empty.
type deadlines struct {
	jobs deadlineHeap
}

func (d *deadlines) add(j *job) { heap.Push(&d.jobs, j) }

func (d *deadlines) remove(j *job) {
	if j.timer != noTimer {
		heap.Remove(&d.jobs, j.timer)
	}
}

// first returns the job with the earliest deadline, or nil.
func (d *deadlines) first() *job {
	if len(d.jobs) == 0 {
		return nil
	}
	return d.jobs[0]
}

type deadlineHeap []*job

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline < h[j].Deadline }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer = i
	h[j].timer = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	j := x.(*job)
	j.timer = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.timer = noTimer
	*h = old[:len(old)-1]
	return last
}

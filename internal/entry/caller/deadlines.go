package caller

import "container/heap"

// noDeadlineIndex is the deadlineIndex of a job that is not in the heap.
const noDeadlineIndex = -1

// deadlines holds open jobs ordered by deadline. The zero value is empty.
type deadlines struct {
	jobs deadlineHeap
}

func (d *deadlines) add(j *job) { heap.Push(&d.jobs, j) }

func (d *deadlines) remove(j *job) {
	if j.deadlineIndex != noDeadlineIndex {
		heap.Remove(&d.jobs, j.deadlineIndex)
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
	h[i].deadlineIndex = i
	h[j].deadlineIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	j := x.(*job)
	j.deadlineIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.deadlineIndex = noDeadlineIndex
	*h = old[:len(old)-1]
	return last
}

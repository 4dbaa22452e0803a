package caller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxTracedRuns is how many of the longest runs of a job are kept for its
// trace.
const maxTracedRuns = 4

// tracedRun is a run that ended with a result.
type tracedRun struct {
	agent     string
	sentAfter time.Duration // from the job's arrival to the start message
	roundTrip time.Duration // from the start message to the result
	runTime   time.Duration // at the endpoint
}

// traceOf returns the current state of a job for logs.
func (s *State) traceOf(j *job) *JobTrace {
	t := &JobTrace{
		CallerJobID:     j.CallerJobID,
		Detail:          j.answer.Detail,
		Age:             s.now - j.arrivedAt,
		DeadlineIn:      j.Deadline - s.now,
		Tasks:           len(j.tasks),
		DoneTasks:       j.doneTasks,
		TasksAtAgents:   j.tasksAtAgents,
		QueuedTasks:     s.queuedTasks,
		ReachableAgents: s.ReachableAgents(),
		ConfigVersion:   s.doc.Version(),
		LongestRuns:     formatRuns(j.longestRuns),
		Admission:       j.admission.inputs,
	}
	if j.Due > 0 {
		t.DueIn = j.Due - s.now
	}
	for i := range j.tasks {
		t.FailedRuns += j.tasks[i].failedRuns
	}
	return t
}

// recordRun keeps a run for the trace if it is one of the longest.
func (j *job) recordRun(r tracedRun) {
	j.longestRuns = append(j.longestRuns, r)
	slices.SortFunc(j.longestRuns, func(a, b tracedRun) int { return cmp.Compare(b.roundTrip, a.roundTrip) })
	j.longestRuns = j.longestRuns[:min(len(j.longestRuns), maxTracedRuns)]
}

// formatRuns returns a text with the agent and the times in ms of each run, in
// the form agent@sentAfter+roundTrip/runTime.
func formatRuns(runs []tracedRun) string {
	var b strings.Builder
	for i, r := range runs {
		if i > 0 {
			b.WriteByte(',')
		}
		agent, _, _ := strings.Cut(r.agent, ".")
		fmt.Fprintf(&b, "%s@%d+%d/%d", agent, r.sentAfter.Milliseconds(), r.roundTrip.Milliseconds(), r.runTime.Milliseconds())
	}
	return b.String()
}

package caller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxTraced is how many runs of a job its trace names, the longest first.
const maxTraced = 4

// traced is a run that ended with a result.
type traced struct {
	agent string
	sent  time.Duration // after the job arrived
	took  time.Duration // until its result was here
	ran   time.Duration // at the endpoint
}

// trace returns what is known of a job now.
func (s *State) trace(j *job) *JobTrace {
	t := &JobTrace{
		Name:    j.Name,
		Detail:  j.answer.Detail,
		Age:     s.now - j.arrived,
		LeftIn:  j.Deadline - s.now,
		Tasks:   len(j.tasks),
		Done:    j.done,
		Open:    j.open,
		Queued:  s.queued,
		Agents:  s.Reachable(),
		Version: s.doc.Version(),
		Runs:    tracedText(j.traced),
	}
	if j.Due > 0 {
		t.DueIn = j.Due - s.now
	}
	for i := range j.tasks {
		t.Failures += j.tasks[i].failures
	}
	return t
}

// noteRun keeps a run for the trace if it is among the longest.
func (j *job) noteRun(r traced) {
	j.traced = append(j.traced, r)
	slices.SortFunc(j.traced, func(a, b traced) int { return cmp.Compare(b.took, a.took) })
	j.traced = j.traced[:min(len(j.traced), maxTraced)]
}

func tracedText(runs []traced) string {
	var b strings.Builder
	for i, r := range runs {
		if i > 0 {
			b.WriteByte(',')
		}
		agent, _, _ := strings.Cut(r.agent, ".")
		fmt.Fprintf(&b, "%s@%d+%d/%d", agent, r.sent.Milliseconds(), r.took.Milliseconds(), r.ran.Milliseconds())
	}
	return b.String()
}

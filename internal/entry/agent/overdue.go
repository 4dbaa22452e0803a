package agent

import "time"

// This file answers endpoints that turn slow or hang: their averages tell only
// once a task has ended, while tasks that should have ended tell at once.

const (
	// overdueAfter is how many times its expected run time a task may take
	// before its member counts as slow. Run times vary by 15% within a job and
	// declared ones are off by 40%, so that twice is common.
	overdueAfter = 2.5
	// overdueSlack covers the ways and the waits on them.
	overdueSlack = 60 * time.Millisecond
)

// Sent is a task that was sent to a member.
type Sent struct {
	at       time.Duration
	expected time.Duration // until its end, with the wait before it
}

// Overdue returns by which factor the task has passed its expected run time, or
// 1 if it may still end in time.
func (t Sent) Overdue(now time.Duration) float64 {
	if t.expected <= 0 {
		return 1
	}
	ran := now - t.at - overdueSlack
	return max(1, float64(ran)/(overdueAfter*float64(t.expected)))
}

// Watch looks for tasks of the member that should have ended.
func (m *Member) Watch(now time.Duration) {
	m.slow = 1
	for _, t := range m.Work {
		m.slow = max(m.slow, t.Overdue(now))
	}
}

// Slow reports whether a task of the member should have ended.
func (m *Member) Slow() bool { return m.slow > 1 }

package caller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// An agent's report of a task that this entry has not placed there is answered with a
// cancel, unless the task is being stopped already. It guards against runs that go on
// because their cancel was lost.
func TestUnownedTaskIsCancelled(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", time.Second, 50*ms)})
	r.reportTask("a.1", "j", 0, 1, failed, reason.LeaseLapsed)
	for _, tc := range []struct {
		occasion, job string
		attempt       uint32
		state         wirepb.TaskState
		cause         reason.Reason
		want          string
	}{
		{"of a forgotten job runs", "gone", 1, running, reason.Unspecified, "[~gone.0/1]"},
		{"of a forgotten job is queued", "gone", 2, wirepb.TaskState_TASK_STATE_QUEUED, reason.Unspecified, "[~gone.0/2]"},
		{"runs in an earlier attempt", "j", 1, running, reason.Unspecified, "[~j.0/1]"},
		{"is being stopped", "gone", 1, running, reason.EntrySilent, "[]"},
		{"has ended", "gone", 1, failed, reason.Unspecified, "[]"},
		{"runs in its latest attempt", "j", 2, running, reason.Unspecified, "[]"},
	} {
		cancels := []string{}
		for _, a := range r.reportTask("a.1", tc.job, 0, tc.attempt, tc.state, tc.cause) {
			if send, ok := a.(caller.SendToAgent); ok {
				for _, c := range send.Msg.Cancels {
					cancels = append(cancels, fmt.Sprintf("%s.%d/%d", c.Job.JobId, c.Task, c.Attempt))
				}
			}
		}
		if fmt.Sprint(cancels) != tc.want {
			t.Errorf("a task that %s: cancels %v, want %s", tc.occasion, cancels, tc.want)
		}
	}
}

// On a new link no stamp is echoed before the first message of the agent, which lists
// its tasks. It guards against runs whose cancel is lost again and again while echoes
// keep them running.
func TestNoEchoBeforeTheFirstMessageOfALink(t *testing.T) {
	r := newLeasedHarness(t, 8)
	r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 70}})
	echoes := []int64{}
	for _, acts := range [][]caller.Action{
		r.step(caller.PingAll{}),
		r.step(caller.LinkUp{Agent: "a.1"}),
		r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: 80, Probe: true}}),
	} {
		for _, a := range acts {
			if send, ok := a.(caller.SendToAgent); ok {
				echoes = append(echoes, send.Msg.View.Echo)
			}
		}
	}
	if want := []int64{70, 0, 80}; fmt.Sprint(echoes) != fmt.Sprint(want) {
		t.Errorf("echoes before a new link, on it, and after its first message: %v, want %v", echoes, want)
	}
}

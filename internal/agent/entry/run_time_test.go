package entry_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/entry"
)

// The agent reports how its endpoint's run times compare with the declared ones,
// from the third task on.
func TestReportedRunTimeRatio(t *testing.T) {
	r := newRig(largeLedger())
	for i, want := range []float32{0, 0, 2} {
		start := startOf("j", 1, uint32(i), 1)
		start.Starts[0].DeclaredMs = 100
		r.receive(1, start)
		ended := r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "j", Task: uint32(i)}, Took: 200 * time.Millisecond})
		for _, act := range ended {
			send, ok := act.(entry.Send)
			if !ok {
				continue
			}
			if got := send.Msg.Load.RunTimeRatio; got != want {
				t.Errorf("after %d tasks the reported ratio is %v, want %v", i+1, got, want)
			}
		}
	}
}

// Guards against tasks that are placed by the speed of an earlier endpoint of the agent.
func TestRunTimeRatioOfReplacedEndpoint(t *testing.T) {
	r := newRig(largeLedger())
	endpoint := uint64(0)
	run := func(task uint32, took time.Duration, between ...entry.Event) float32 {
		start := startOf("j", 1, task, 1)
		start.Starts[0].DeclaredMs, start.Starts[0].Endpoint = 100, endpoint
		r.receive(1, start)
		r.step(between...)
		ratio := float32(-1)
		for _, act := range r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "j", Task: task}, Took: took}) {
			if send, ok := act.(entry.Send); ok {
				ratio = send.Msg.Load.RunTimeRatio
			}
		}
		return ratio
	}
	for task := range uint32(3) {
		run(task, 200*time.Millisecond)
	}
	replaced := entry.EndpointChanged{Endpoint: entry.Endpoint{Number: 2, Slots: 1, AcceptsTasks: true}}
	if got := run(3, 200*time.Millisecond, replaced); got != 0 {
		t.Errorf("ratio %v after a task of the earlier endpoint, want none", got)
	}
	endpoint = 2
	run(4, 400*time.Millisecond)
	run(5, 400*time.Millisecond)
	if got := run(6, 400*time.Millisecond); got != 4 {
		t.Errorf("ratio %v after three tasks, want 4", got)
	}
}

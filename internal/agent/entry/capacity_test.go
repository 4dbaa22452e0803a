package entry_test

import (
	"fmt"
	"testing"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

func endpointWithCPU(cpuMilli int) entry.EndpointChanged {
	return entry.EndpointChanged{Endpoint: entry.Endpoint{Slots: 8, AcceptsTasks: true, Capacity: resources.Resources{CPUMilli: cpuMilli, MemoryMB: 100}}}
}

// The capacity of an endpoint shrinks and grows while it runs. No start may bring it
// over its capacity, of which a cancelled task uses its part until its run has ended.
func TestStartsFollowTheCapacity(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 4000, MemoryMB: 100})
	var running []entry.TaskRef
	for task := range uint32(4) {
		running = append(running, startsOf(r.receive(1, repeatableStart("a", task, 1, 1000)))...)
	}
	if len(running) != 4 {
		t.Fatalf("runs %v, want four", running)
	}
	expectNoStarts := func(occasion string, actions []entry.Action) {
		t.Helper()
		if got := startsOf(actions); len(got) > 0 {
			t.Fatalf("%s: started %v, want nothing", occasion, got)
		}
	}
	expectNoStarts("after the capacity shrank", r.step(endpointWithCPU(2000)))
	expectNoStarts("a further task", r.receive(1, repeatableStart("a", 4, 1, 1000)))
	expectNoStarts("first end, with three running where two fit", r.step(entry.TaskEnded{Ref: running[0]}))
	expectNoStarts("second end, with two running where two fit", r.step(entry.TaskEnded{Ref: running[1]}))
	cancel := &wirepb.ToAgent{Cancels: []*wirepb.Cancel{{Job: jobRef("a", 1), Task: 2, Attempt: 1}}}
	expectNoStarts("while a run is being stopped", r.receive(1, cancel))
	if got := startsOf(r.step(entry.TaskEnded{Ref: running[2]})); fmt.Sprint(got) != "[{t a 4}]" {
		t.Errorf("started %v after the run was stopped, want the queued task", got)
	}
	expectNoStarts("a task beyond the capacity", r.receive(1, repeatableStart("a", 5, 1, 1000)))
	if got := startsOf(r.step(endpointWithCPU(4000))); fmt.Sprint(got) != "[{t a 5}]" {
		t.Errorf("started %v after the capacity grew again, want the queued task", got)
	}
}

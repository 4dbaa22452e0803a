package entry_test

import (
	"fmt"
	"testing"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// badOf returns the share of bad runs that the agent reports last.
func badOf(actions []entry.Action) uint32 {
	last := uint32(0)
	for _, a := range actions {
		if send, ok := a.(entry.Send); ok && send.Msg.Load != nil {
			last = send.Msg.Load.BadPermille
		}
	}
	return last
}

// play runs a task and ends it.
func (r *rig) play(job string, task uint32, why reason.Reason, notRun bool) {
	r.receive(1, startOf(job, 1, task, 1))
	ref := entry.Ref{Team: "t", Job: job, Task: task}
	r.step(entry.TaskEnded{Ref: ref, Reason: why, NotRun: notRun})
}

func (r *rig) bad() uint32 { return badOf(r.receive(1, &wirepb.ToAgent{Ping: true})) }

func TestBadRunsAreReported(t *testing.T) {
	r := newRig(roomyLedger())
	for i := range 20 {
		r.play(fmt.Sprintf("good-%d", i), 0, reason.Unspecified, false)
	}
	if got := r.bad(); got != 0 {
		t.Errorf("%d of 1000 bad after good runs", got)
	}
	// A third of the runs hang.
	for i := range 9 {
		why := reason.Unspecified
		if i%3 == 2 {
			why = reason.NoProgress
		}
		r.play(fmt.Sprintf("mixed-%d", i), 0, why, false)
	}
	if got := r.bad(); got < 200 || got > 340 {
		t.Errorf("%d of 1000 bad after three of nine, want 200 to 340", got)
	}
	before := r.bad()
	r.play("refused", 0, reason.EndpointRefused, true)
	r.play("left", 0, reason.Cancelled, false)
	if got := r.bad(); got > before {
		t.Errorf("a refusal and a cancelled run raise the share from %d to %d", before, got)
	}
}

func TestOneHopelessJobCountsOnce(t *testing.T) {
	r := newRig(roomyLedger())
	for task := range uint32(8) {
		r.play("hopeless", task, reason.EndpointFailed, false)
	}
	if got := r.bad(); got > 100 {
		t.Errorf("%d of 1000 bad after the tasks of one job, want at most 100", got)
	}
}

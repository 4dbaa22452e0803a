package entry_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// silence is how long an entry may be silent in these tests.
const silence = 400 * time.Millisecond

// leasedRig drives a State whose endpoint counts resources and whose entries'
// repeatable tasks are stopped when they fall silent.
func leasedRig(capacity resources.Resources) *rig {
	r := &rig{
		now: 10 * time.Second,
		state: entry.New(entry.Options{
			Incarnation:  incarnation,
			QueuePerSlot: 4,
			Ledger:       roomyLedger(),
			EntrySilence: silence,
		}),
	}
	r.step(entry.EndpointChanged{Endpoint: entry.Endpoint{Slots: 8, Open: true, Capacity: capacity}})
	r.step(entry.LinkOpened{Link: 1, Entry: "e.1"}, entry.LinkOpened{Link: 2, Entry: "e.2"})
	return r
}

func repeatable(id string, task, attempt uint32, cpu uint32) *wirepb.ToAgent {
	msg := startOf(id, 1, task, attempt)
	msg.Starts[0].Repeatable = true
	msg.Starts[0].Name = "name-" + id
	msg.Starts[0].Need = &wirepb.Resources{CpuMilli: cpu}
	return msg
}

func abortsOf(actions []entry.Action) []entry.Ref {
	var refs []entry.Ref
	for _, a := range actions {
		if abort, ok := a.(entry.Abort); ok {
			refs = append(refs, abort.Ref)
		}
	}
	return refs
}

func TestTasksOfASilentEntryAreStopped(t *testing.T) {
	r := leasedRig(resources.Resources{CPUMilli: 4000})
	if got := runsOf(r.receive(1, repeatable("a", 0, 1, 1000))); len(got) != 1 {
		t.Fatalf("runs %v, want one", got)
	}
	r.receive(2, repeatable("b", 0, 1, 1000))
	r.now += silence - 10*time.Millisecond
	r.receive(2, &wirepb.ToAgent{Ping: true})
	if got := abortsOf(r.step(entry.Tick{})); len(got) != 0 {
		t.Fatalf("stopped %v before the silence was over", got)
	}
	r.now += 20 * time.Millisecond
	got := abortsOf(r.step(entry.Tick{}))
	if len(got) != 1 || got[0].Job != "a" {
		t.Errorf("stopped %v, want the task of the silent entry only", got)
	}
}

// A message that waited in a buffer while the host was paused echoes an old
// stamp, so that it begins nothing.
func TestStartThatWaitedBeginsNothing(t *testing.T) {
	r := leasedRig(resources.Resources{CPUMilli: 4000})
	msg := repeatable("a", 0, 1, 1000)
	msg.View = &wirepb.View{Version: 1, Open: true, Confirmed: true, Echo: int64(r.now)}
	r.now += silence + 10*time.Millisecond
	if got := runsOf(r.step(entry.Received{Link: 1, Msg: msg})); len(got) != 0 {
		t.Errorf("began %v on a stamp that is %s old", got, silence+10*time.Millisecond)
	}
	if got := runsOf(r.receive(1, &wirepb.ToAgent{Ping: true})); len(got) != 0 {
		t.Errorf("began %v once the entry was heard of, which may have placed it elsewhere", got)
	}
	if got := runsOf(r.receive(1, repeatable("a", 0, 2, 1000))); len(got) != 1 {
		t.Errorf("began %v, want the next attempt", got)
	}
}

// A task that waited for room while its entry was silent never begins.
func TestQueuedTasksOfASilentEntryAreRefused(t *testing.T) {
	r := leasedRig(resources.Resources{CPUMilli: 1000})
	r.receive(2, repeatable("b", 0, 1, 1000))
	r.receive(1, repeatable("a", 0, 1, 1000))
	r.now += silence - 10*time.Millisecond
	r.receive(2, &wirepb.ToAgent{Ping: true})
	r.now += 20 * time.Millisecond
	found := updatesOf(r.step(entry.Tick{}))
	if len(found) != 1 || reason.Reason(found[0].Reason) != reason.EntrySilent {
		t.Errorf("updates %v, want the queued task refused as entry_silent", found)
	}
}

// The permission to start ends with the entry's silence, also when the process
// is paused between the decision and the order.
func TestPermissionEndsWithSilence(t *testing.T) {
	r := leasedRig(resources.Resources{CPUMilli: 4000})
	for _, a := range r.receive(1, repeatable("a", 0, 1, 1000)) {
		if run, ok := a.(entry.Run); ok && run.Until > r.now+silence {
			t.Errorf("the start is allowed until %s, %s after the stamp", run.Until, run.Until-r.now)
		}
	}
}

// A repeatable task that failed is started again at the same agent; a repeated
// message of the same attempt is answered from the ledger.
func TestNextAttemptAtTheSameAgent(t *testing.T) {
	r := leasedRig(resources.Resources{CPUMilli: 4000})
	ref := runsOf(r.receive(1, repeatable("a", 0, 1, 1000)))[0]
	r.step(entry.TaskEnded{Ref: ref, Reason: reason.EndpointFailed})
	if got := runsOf(r.receive(1, repeatable("a", 0, 1, 1000))); len(got) != 0 {
		t.Errorf("the same attempt began again: %v", got)
	}
	if got := runsOf(r.receive(1, repeatable("a", 0, 2, 1000))); len(got) != 1 {
		t.Errorf("the next attempt began %v, want the task", got)
	}
}

func TestRoomByResources(t *testing.T) {
	r := leasedRig(resources.Resources{CPUMilli: 4000, MemoryMB: 100})
	first := runsOf(r.receive(1, repeatable("a", 0, 1, 3000)))
	if len(first) != 1 {
		t.Fatalf("runs %v, want one", first)
	}
	if got := runsOf(r.receive(1, repeatable("a", 1, 1, 1500))); len(got) != 0 {
		t.Errorf("began %v beyond the processors", got)
	}
	if got := runsOf(r.receive(1, repeatable("a", 2, 1, 900))); len(got) != 1 {
		t.Errorf("began %v, want the small task that fits beside", got)
	}
	if got := runsOf(r.step(entry.TaskEnded{Ref: first[0]})); len(got) != 1 || got[0].Task != 1 {
		t.Errorf("began %v when room came free, want the task that waited", got)
	}
}

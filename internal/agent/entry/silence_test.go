package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// silenceTimeout is the EntrySilenceTimeout of these tests.
const silenceTimeout = 400 * time.Millisecond

// newResourceRig returns a rig whose endpoint counts resources, and which stops
// the repeatable tasks of silent entries.
func newResourceRig(capacity resources.Resources) *rig {
	r := &rig{
		now: 10 * time.Second,
		state: entry.New(entry.Options{
			Incarnation:         agentIncarnation,
			QueuePerSlot:        4,
			Ledger:              largeLedger(),
			EntrySilenceTimeout: silenceTimeout,
		}),
	}
	r.step(entry.EndpointChanged{Endpoint: entry.Endpoint{Slots: 8, AcceptsTasks: true, Capacity: capacity}})
	r.step(entry.LinkOpened{Link: 1, Entry: "e.1"}, entry.LinkOpened{Link: 2, Entry: "e.2"})
	return r
}

func repeatableStart(id string, task, attempt uint32, cpu uint32) *wirepb.ToAgent {
	msg := startOf(id, 1, task, attempt)
	msg.Starts[0].Repeatable = true
	msg.Starts[0].Name = "name-" + id
	msg.Starts[0].Need = &wirepb.Resources{CpuMilli: cpu}
	return msg
}

func cancelsOf(actions []entry.Action) []entry.TaskRef {
	var refs []entry.TaskRef
	for _, a := range actions {
		if cancel, ok := a.(entry.CancelTask); ok {
			refs = append(refs, cancel.Ref)
		}
	}
	return refs
}

func TestTasksOfASilentEntryAreStopped(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 4000})
	if got := startsOf(r.receive(1, repeatableStart("a", 0, 1, 1000))); len(got) != 1 {
		t.Fatalf("runs %v, want one", got)
	}
	r.receive(2, repeatableStart("b", 0, 1, 1000))
	r.now += silenceTimeout - 10*time.Millisecond
	r.receive(2, &wirepb.ToAgent{Ping: true})
	if got := cancelsOf(r.step(entry.Tick{})); len(got) != 0 {
		t.Fatalf("cancelled %v before the silence timeout, want none", got)
	}
	r.now += 20 * time.Millisecond
	got := cancelsOf(r.step(entry.Tick{}))
	if len(got) != 1 || got[0].Job != "a" {
		t.Errorf("cancelled %v, want the task of the silent entry only", got)
	}
}

// A message that waited in a buffer while the host was paused echoes an old
// stamp. Its start must be refused, also after newer messages of the entry
// arrive.
func TestDelayedStartIsNotRun(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 4000})
	msg := repeatableStart("a", 0, 1, 1000)
	msg.View = &wirepb.View{Version: 1, Open: true, Confirmed: true, Echo: int64(r.now)}
	r.now += silenceTimeout + 10*time.Millisecond
	if got := startsOf(r.step(entry.MessageReceived{Link: 1, Msg: msg})); len(got) != 0 {
		t.Errorf("started %v on a stamp that is %s old, want none", got, silenceTimeout+10*time.Millisecond)
	}
	if got := startsOf(r.receive(1, &wirepb.ToAgent{Ping: true})); len(got) != 0 {
		t.Errorf("started %v after a newer message of the entry, want none: it may have placed the task elsewhere", got)
	}
	if got := startsOf(r.receive(1, repeatableStart("a", 0, 2, 1000))); len(got) != 1 {
		t.Errorf("started %v, want the next attempt", got)
	}
}

// A task that is queued while its entry falls silent must not start.
func TestQueuedTasksOfASilentEntryAreRefused(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 1000})
	r.receive(2, repeatableStart("b", 0, 1, 1000))
	r.receive(1, repeatableStart("a", 0, 1, 1000))
	r.now += silenceTimeout - 10*time.Millisecond
	r.receive(2, &wirepb.ToAgent{Ping: true})
	r.now += 20 * time.Millisecond
	found := updatesOf(r.step(entry.Tick{}))
	if len(found) != 1 || reason.Reason(found[0].Reason) != reason.EntrySilent {
		t.Errorf("updates %v, want the queued task refused as entry_silent", found)
	}
}

// A start is not allowed beyond the silence timeout of the entry, even if the
// process is paused between the decision to start and the call to the endpoint.
func TestStartDeadlineEndsWithSilence(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 4000})
	for _, a := range r.receive(1, repeatableStart("a", 0, 1, 1000)) {
		if start, ok := a.(entry.StartTask); ok && start.StartDeadline > r.now+silenceTimeout {
			t.Errorf("the start is allowed until %s, %s after the stamp, want no later than the silence timeout", start.StartDeadline, start.StartDeadline-r.now)
		}
	}
}

// A new attempt of a repeatable task that failed runs at the same agent; a
// repeated message of the old attempt is answered from the ledger.
func TestNextAttemptAtTheSameAgent(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 4000})
	ref := startsOf(r.receive(1, repeatableStart("a", 0, 1, 1000)))[0]
	r.step(entry.TaskEnded{Ref: ref, Reason: reason.EndpointFailed})
	if got := startsOf(r.receive(1, repeatableStart("a", 0, 1, 1000))); len(got) != 0 {
		t.Errorf("started %v for a repeated message of the same attempt, want none", got)
	}
	if got := startsOf(r.receive(1, repeatableStart("a", 0, 2, 1000))); len(got) != 1 {
		t.Errorf("started %v for the next attempt, want the task", got)
	}
}

func TestRoomByResources(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 4000, MemoryMB: 100})
	first := startsOf(r.receive(1, repeatableStart("a", 0, 1, 3000)))
	if len(first) != 1 {
		t.Fatalf("runs %v, want one", first)
	}
	if got := startsOf(r.receive(1, repeatableStart("a", 1, 1, 1500))); len(got) != 0 {
		t.Errorf("started %v although too few processors are free, want none", got)
	}
	if got := startsOf(r.receive(1, repeatableStart("a", 2, 1, 900))); len(got) != 1 {
		t.Errorf("started %v, want the smaller task that fits beside the first", got)
	}
	if got := startsOf(r.step(entry.TaskEnded{Ref: first[0]})); len(got) != 1 || got[0].Task != 1 {
		t.Errorf("started %v after the first task ended, want the queued task", got)
	}
}

// A cancel that was delayed must not stop a later placement of the task.
func TestStaleCancel(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 4000})
	r.receive(1, repeatableStart("a", 0, 1, 1000))
	r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "a"}, Reason: reason.LeaseLapsed})
	if got := startsOf(r.receive(1, repeatableStart("a", 0, 2, 1000))); len(got) != 1 {
		t.Fatalf("runs %v of the second placement, want one", got)
	}
	if got := cancelsOf(r.receive(1, &wirepb.ToAgent{Cancels: []*wirepb.Cancel{{Job: jobRef("a", 1), Attempt: 1}}})); len(got) != 0 {
		t.Errorf("cancelled %v by the cancel of the first placement, want none", got)
	}
	if got := cancelsOf(r.receive(1, &wirepb.ToAgent{Cancels: []*wirepb.Cancel{{Job: jobRef("a", 1), Attempt: 2}}})); len(got) != 1 {
		t.Errorf("cancelled %v by the cancel of the second placement, want one", got)
	}
}

// A queued task that waits for room is not refused because another one waits for
// a confirmation of the view, however long it has waited.
func TestTaskThatWaitsForRoomIsNotRefused(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 4000})
	fresh := func() *wirepb.View { return &wirepb.View{Version: 1, Open: true, Confirmed: true, Echo: int64(r.now)} }
	r.receive(1, repeatableStart("a", 0, 1, 3000))
	r.receive(1, repeatableStart("b", 0, 1, 3000)) // waits for room
	for range 18 {
		r.now += 100 * time.Millisecond
		r.receive(1, &wirepb.ToAgent{View: fresh()})
	}
	// The view is no longer confirmed, while the entry stays active.
	stale := fresh()
	stale.Confirmed = false
	for range 22 {
		r.now += 100 * time.Millisecond
		stale.Echo = int64(r.now)
		r.receive(1, &wirepb.ToAgent{View: stale})
	}
	start := repeatableStart("c", 0, 1, 1000) // fits, but waits for the view
	start.View = stale
	for _, u := range updatesOf(r.receive(1, start)) {
		t.Errorf("update %v when the view is not confirmed, want none", u)
	}
	if got := startsOf(r.receive(1, &wirepb.ToAgent{View: fresh()})); len(got) != 1 || got[0].Job != "c" {
		t.Errorf("runs %v after a confirmation, want c", got)
	}
	if got := startsOf(r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "a"}})); len(got) != 1 || got[0].Job != "b" {
		t.Errorf("runs %v once there is room, want b", got)
	}
}

// A new link begins with the open tasks of its entry, so that the entry can cancel
// those whose cancel was lost. A cancel is answered with its reason, so that it isn't
// repeated until the run has ended.
func TestNewLinkListsOpenTasks(t *testing.T) {
	r := newResourceRig(resources.Resources{CPUMilli: 2000})
	r.receive(1, repeatableStart("a", 0, 1, 2000))
	r.receive(1, repeatableStart("a", 1, 1, 2000))
	r.receive(2, repeatableStart("b", 0, 1, 1000))
	var listed []string
	for _, u := range updatesOf(r.step(entry.LinkOpened{Link: 3, Entry: "e.1"})) {
		listed = append(listed, fmt.Sprintf("%s.%d/%d %s %d", u.JobId, u.Task, u.Attempt, u.State, u.Reason))
	}
	slices.Sort(listed)
	if want := []string{"a.0/1 TASK_STATE_RUNNING 0", "a.1/1 TASK_STATE_QUEUED 0"}; !slices.Equal(listed, want) {
		t.Errorf("the new link begins with %q, want %q", listed, want)
	}
	updates := updatesOf(r.receive(3, &wirepb.ToAgent{Cancels: []*wirepb.Cancel{{Job: jobRef("a", 1), Attempt: 1}}}))
	if len(updates) != 1 || updates[0].State != wirepb.TaskState_TASK_STATE_RUNNING || reason.Reason(updates[0].Reason) != reason.Cancelled {
		t.Errorf("updates after the cancel: %v, want that the task runs and is cancelled", updates)
	}
}

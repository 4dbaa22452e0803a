package entry_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// TestMain sets a fixed default seed for rapid, so that runs without an
// explicit seed are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const agentIncarnation = "a.1"

// rig drives one State whose endpoint has 2 slots; its queue holds 2 tasks.
type rig struct {
	state *entry.State
	now   time.Duration
}

func newRig(l entry.LedgerOptions) *rig {
	r := &rig{
		now:   10 * time.Second,
		state: entry.New(entry.Options{Incarnation: agentIncarnation, QueuePerSlot: 1, Ledger: l}),
	}
	r.step(entry.EndpointChanged{Endpoint: entry.Endpoint{Slots: 2, AcceptsTasks: true}})
	r.step(entry.LinkOpened{Link: 1, Entry: "e.1"}, entry.LinkOpened{Link: 2, Entry: "e.2"})
	return r
}

func largeLedger() entry.LedgerOptions {
	return entry.LedgerOptions{Jobs: 100, ResultBytes: 1 << 20, Retention: time.Hour}
}

func (r *rig) step(events ...entry.Event) []entry.Action {
	r.now += time.Millisecond
	return r.state.Step(r.now, events...)
}

// receive delivers a message. A message without a view gets one with a fresh
// confirmation.
func (r *rig) receive(link uint64, msg *wirepb.ToAgent) []entry.Action {
	if msg.View == nil {
		msg.View = &wirepb.View{Version: 1, Open: true, Confirmed: true, Echo: int64(r.now)}
	}
	return r.step(entry.MessageReceived{Link: link, Msg: msg})
}

func jobRef(id string, generation uint64) *wirepb.JobRef {
	return &wirepb.JobRef{Team: "t", JobId: id, Generation: generation, Owner: fmt.Sprintf("e.%d", generation), ClaimSeq: 1}
}

func startOf(id string, generation uint64, task, attempt uint32) *wirepb.ToAgent {
	return &wirepb.ToAgent{Agent: agentIncarnation, Starts: []*wirepb.Start{{
		Job: jobRef(id, generation), Task: task, Attempt: attempt, Kind: "k", Payload: []byte("p"),
	}}}
}

func fenceOf(id string, generation uint64) *wirepb.ToAgent {
	f := &wirepb.Fence{Job: jobRef(id, generation)}
	for g := uint64(1); g < generation; g++ {
		f.Earlier = append(f.Earlier, &wirepb.Claim{Owner: fmt.Sprintf("e.%d", g), ClaimSeq: 1})
	}
	return &wirepb.ToAgent{Fences: []*wirepb.Fence{f}}
}

func startsOf(actions []entry.Action) []entry.TaskRef {
	var refs []entry.TaskRef
	for _, a := range actions {
		if start, ok := a.(entry.StartTask); ok {
			refs = append(refs, start.Ref)
		}
	}
	return refs
}

func updatesOf(actions []entry.Action) []*wirepb.Update {
	var all []*wirepb.Update
	for _, a := range actions {
		if send, ok := a.(entry.Send); ok {
			all = append(all, send.Msg.Updates...)
		}
	}
	return all
}

func reportsOf(actions []entry.Action) []*wirepb.FenceReport {
	var all []*wirepb.FenceReport
	for _, a := range actions {
		if send, ok := a.(entry.Send); ok {
			all = append(all, send.Msg.Reports...)
		}
	}
	return all
}

// No task may run twice, however starts, cancels and fences are delayed or
// repeated, also under old claims. A start under a later claim is sent only
// after the agent has reported on the claim's fence that it dropped no record.
// An agent that handled starts under an earlier claim is on the roster of that
// claim's owner, and an entry that takes over the job first sends a fence to
// every agent on the roster.
func TestStartsAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(entry.LedgerOptions{Jobs: 3, ResultBytes: 1 << 20, Retention: time.Second})
		started := map[entry.TaskRef]bool{}
		mayStart := map[string]bool{}
		var running []entry.TaskRef
		checkRuns := func(actions []entry.Action) {
			for _, ref := range startsOf(actions) {
				if started[ref] {
					t.Fatalf("%v was started twice", ref)
				}
				started[ref] = true
				running = append(running, ref)
			}
			if len(running) > 2 {
				t.Fatalf("%d tasks run at once, want at most 2", len(running))
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "job")
			generation := rapid.Uint64Range(1, 3).Draw(t, "generation")
			task := rapid.Uint32Range(0, 2).Draw(t, "task")
			attempt := rapid.Uint32Range(1, 3).Draw(t, "attempt")
			link := rapid.Uint64Range(1, 2).Draw(t, "link")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				if generation == 1 || mayStart[fmt.Sprint(id, generation)] {
					checkRuns(r.receive(link, startOf(id, generation, task, attempt)))
				}
			case 2:
				actions := r.receive(link, fenceOf(id, generation))
				checkRuns(actions)
				for _, report := range reportsOf(actions) {
					mayStart[fmt.Sprint(id, generation)] = !report.Forgotten && !report.Superseded
				}
			case 3:
				checkRuns(r.receive(link, &wirepb.ToAgent{Cancels: []*wirepb.Cancel{{Job: jobRef(id, generation), Task: task, Attempt: attempt}}}))
			case 4:
				if len(running) > 0 {
					ref := running[0]
					running = running[1:]
					checkRuns(r.step(entry.TaskEnded{Ref: ref, Result: []byte("r")}))
				}
			case 5:
				r.now += 700 * time.Millisecond
				checkRuns(r.step(entry.Tick{}))
			}
		}
	})
}

func TestRepeatedStartIsAnsweredFromTheLedger(t *testing.T) {
	r := newRig(largeLedger())
	if got := startsOf(r.receive(1, startOf("a", 1, 0, 1))); len(got) != 1 {
		t.Fatalf("runs %v, want one", got)
	}
	r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "a"}, Result: []byte("r")})
	actions := r.receive(1, startOf("a", 1, 0, 1))
	if got := startsOf(actions); len(got) != 0 {
		t.Errorf("runs %v, want none", got)
	}
	updates := updatesOf(actions)
	if len(updates) != 1 || updates[0].State != wirepb.TaskState_TASK_STATE_DONE || string(updates[0].Result) != "r" {
		t.Errorf("updates %v, want the result", updates)
	}
}

func TestFenceRefusesOlderStarts(t *testing.T) {
	r := newRig(largeLedger())
	r.receive(1, startOf("a", 1, 0, 1))
	reports := reportsOf(r.receive(2, fenceOf("a", 2)))
	if len(reports) != 1 || len(reports[0].Tasks) != 1 || reports[0].Forgotten || reports[0].Superseded {
		t.Fatalf("reports %v, want one with the running task", reports)
	}
	updates := updatesOf(r.receive(1, startOf("a", 1, 1, 1)))
	if len(updates) != 1 || reason.Reason(updates[0].Reason) != reason.StaleGeneration {
		t.Errorf("updates %v, want a refusal as stale_generation", updates)
	}
	if got := reportsOf(r.receive(1, fenceOf("a", 1))); len(got) != 1 || !got[0].Superseded {
		t.Errorf("reports %v, want one with Superseded set", got)
	}
}

// When the record of a job is dropped its claim is kept: later starts and
// fences of the job must report that history is missing.
func TestDroppedClaims(t *testing.T) {
	r := newRig(entry.LedgerOptions{Jobs: 100, ResultBytes: 1 << 20, Retention: time.Second})
	r.receive(1, startOf("a", 1, 0, 1))
	r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "a"}, Result: []byte("r")})
	r.now += 2 * time.Second
	r.step(entry.Tick{})
	updates := updatesOf(r.receive(1, startOf("a", 1, 1, 1)))
	if len(updates) != 1 || reason.Reason(updates[0].Reason) != reason.LedgerForgotten {
		t.Errorf("updates %v, want a refusal as ledger_forgotten", updates)
	}
	for g := uint64(2); g < 4; g++ {
		reports := reportsOf(r.receive(2, fenceOf("a", g)))
		if len(reports) != 1 || !reports[0].Forgotten {
			t.Errorf("reports %v under generation %d, want one with Forgotten set", reports, g)
		}
	}
}

// A duplicate of a refused start must not run, even if the agent has room by
// then.
func TestRefusedAttemptStaysRefused(t *testing.T) {
	r := newRig(largeLedger())
	for task := range uint32(4) {
		r.receive(1, startOf("a", 1, task, 1))
	}
	refused := updatesOf(r.receive(1, startOf("a", 1, 4, 1)))
	if len(refused) != 1 || reason.Reason(refused[0].Reason) != reason.AgentBusy {
		t.Fatalf("updates %v, want a refusal as agent_busy", refused)
	}
	for task := range uint32(4) {
		r.step(entry.TaskEnded{Ref: entry.TaskRef{Team: "t", Job: "a", Task: task}})
	}
	if got := startsOf(r.receive(1, startOf("a", 1, 4, 1))); len(got) != 0 {
		t.Errorf("runs %v of an attempt that was refused, want none", got)
	}
	if got := startsOf(r.receive(1, startOf("a", 1, 4, 2))); len(got) != 1 {
		t.Errorf("runs %v of a new attempt, want one", got)
	}
}

// A view is as old as the stamp that it echoes: a message that waited in a
// buffer during a pause must not start a task.
func TestViewFreshness(t *testing.T) {
	tests := []struct {
		name  string
		view  func(now time.Duration) *wirepb.View
		start bool
	}{
		{"fresh", func(now time.Duration) *wirepb.View {
			return &wirepb.View{Version: 1, Open: true, Confirmed: true, Echo: int64(now)}
		}, true},
		{"old echo", func(now time.Duration) *wirepb.View {
			return &wirepb.View{Version: 1, Open: true, Confirmed: true, Echo: int64(now - 3*time.Second)}
		}, false},
		{"old at the entry", func(now time.Duration) *wirepb.View {
			return &wirepb.View{Version: 1, Open: true, Confirmed: true, Echo: int64(now), AgeMs: 2500}
		}, false},
		{"unconfirmed", func(now time.Duration) *wirepb.View {
			return &wirepb.View{Version: 1, Open: true, Echo: int64(now)}
		}, false},
		{"out of service", func(now time.Duration) *wirepb.View {
			return &wirepb.View{Version: 1, Confirmed: true, Echo: int64(now)}
		}, false},
		{"no echo", func(time.Duration) *wirepb.View {
			return &wirepb.View{Version: 1, Open: true, Confirmed: true}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(largeLedger())
			msg := startOf("a", 1, 0, 1)
			msg.View = tt.view(r.now)
			if got := len(startsOf(r.receive(1, msg))) == 1; got != tt.start {
				t.Errorf("started: %t, want %t", got, tt.start)
			}
			r.now += 1100 * time.Millisecond
			updates := updatesOf(r.step(entry.Tick{}))
			if !tt.start && tt.view(0).Open && (len(updates) != 1 || reason.Reason(updates[0].Reason) != reason.ViewUnconfirmed) {
				t.Errorf("updates %v after 1.1 s, want a refusal as view_unconfirmed", updates)
			}
		})
	}
}

// A newer version also applies to starts of entries that have not received it
// yet.
func TestNewerVersionHolds(t *testing.T) {
	r := newRig(largeLedger())
	r.receive(1, &wirepb.ToAgent{View: &wirepb.View{Version: 2, Confirmed: true, Echo: int64(r.now)}})
	updates := updatesOf(r.receive(2, startOf("a", 1, 0, 1)))
	if len(updates) != 1 || reason.Reason(updates[0].Reason) != reason.AgentClosed {
		t.Errorf("updates %v, want a refusal as agent_closed by the newer version", updates)
	}
}

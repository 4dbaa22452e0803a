package agent_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// declared is a task that declares 100 ms.
func declared() agent.Requirements {
	return agent.Requirements{Service: "s", Kind: "k", DeclaredRunTime: 100 * ms}
}

// Many entries share hundreds of members, so that an entry has sent hardly any
// task to most of them. The speed that the agent reports decides.
func TestReportedSpeedOfRarelyUsedMember(t *testing.T) {
	const now = time.Minute
	p, m := newPool(now, 2)
	p.RecordSuccess(m[0], "k", 90*ms, 100*ms) // a task that happened to be short
	p.UpdateLoad(now, m[0], &wirepb.Load{Slots: 2, Open: true, Room: 3, RunTimeRatio: 1.7})
	p.UpdateLoad(now, m[1], &wirepb.Load{Slots: 2, Open: true, Room: 3, RunTimeRatio: 0.7})
	if got := pickID(p, now, declared()); got != "b" {
		t.Errorf("picked %s, want b, whose agent reports the shorter run times", got)
	}
}

// An endpoint turns slow. Its agent, which sees the tasks of all entries, reports
// that before this entry has another result from it.
func TestReportedSpeedChanges(t *testing.T) {
	const now = time.Minute
	p, m := newPool(now, 2)
	for range 50 {
		p.RecordSuccess(m[0], "k", 70*ms, 100*ms)
		p.RecordSuccess(m[1], "k", 100*ms, 100*ms)
	}
	report := func(a, b float32) {
		p.UpdateLoad(now, m[0], &wirepb.Load{Slots: 2, Open: true, Room: 3, RunTimeRatio: a})
		p.UpdateLoad(now, m[1], &wirepb.Load{Slots: 2, Open: true, Room: 3, RunTimeRatio: b})
	}
	report(0.7, 1)
	if got := pickID(p, now, declared()); got != "a" {
		t.Errorf("picked %s before the change, want a", got)
	}
	report(4, 1)
	if got := pickID(p, now, declared()); got != "b" {
		t.Errorf("picked %s after the change, want b", got)
	}
}

// After all hosts lost power no agent has measured its endpoint yet. The labels
// of the hosts tell the slow models from the fast ones after a few tasks, and
// members that join later are placed by their label at once.
func TestSpeedByLabel(t *testing.T) {
	const now = time.Minute
	p := agent.NewPool()
	add := func(id, model, rack string) *agent.Member {
		m, _ := p.AddOrUpdate(now, &wirepb.AgentInfo{Id: id, Incarnation: id + ".1", Zone: "z", Service: "s", Slots: 2, Labels: []string{model, rack}})
		m.Linked = true
		p.UpdateLoad(now, m, &wirepb.Load{Slots: 2, Open: true, Room: 3})
		return m
	}
	fast, slow := add("fast", "a", "r1"), add("slow", "b", "r1")
	for range 5 {
		p.RecordSuccess(fast, "k", 70*ms, 100*ms)
		p.RecordSuccess(slow, "k", 170*ms, 100*ms)
	}
	fast.OutOfService, slow.OutOfService = true, true
	add("new-slow", "b", "r2")
	add("new-fast", "a", "r2")
	if got := pickID(p, now, declared()); got != "new-fast" {
		t.Errorf("picked %s, want new-fast", got)
	}
}

// Short tasks take longer in proportion to what they declare. The report of an
// agent covers all kinds, and is scaled by the kind.
func TestReportedSpeedByKind(t *testing.T) {
	const now = time.Minute
	for _, tt := range []struct {
		kind string
		due  time.Duration
		want bool // whether a member that is full is worth waiting for
	}{{"short", 160 * ms, false}, {"short", 180 * ms, true}, {"long", 40 * ms, false}, {"long", 63 * ms, true}} {
		p, m := newPool(now, 2)
		for range 200 {
			p.RecordSuccess(m[0], "short", 150*ms, 100*ms)
			p.RecordSuccess(m[0], "long", 500*ms, 1000*ms)
		}
		p.UpdateLoad(now, m[0], &wirepb.Load{Slots: 200, Running: 200, Open: true, RunTimeRatio: 1})
		p.UpdateLoad(now, m[1], &wirepb.Load{Slots: 2, Open: true, Room: 3, RunTimeRatio: 100})
		r := agent.Requirements{Service: "s", Kind: tt.kind, DeclaredRunTime: 100 * ms, Due: now + tt.due}
		if waits := p.Pick(now, r) == nil; waits != tt.want {
			t.Errorf("%s task due in %s: waits for the fast member: %t, want %t", tt.kind, tt.due, waits, tt.want)
		}
	}
}

package agent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

const ms = time.Millisecond

// newPool returns a pool of n members "a", "b" and so on. Each is linked, accepts
// starts, has 2 slots and has just reported room for 3 tasks.
func newPool(now time.Duration, n int) (*agent.Pool, []*agent.Member) {
	p := agent.NewPool()
	var members []*agent.Member
	for i := range n {
		id := string(rune('a' + i))
		m, _ := p.AddOrUpdate(now, &wirepb.AgentInfo{Id: id, Incarnation: id + ".1", Zone: "z", Service: "s", Slots: 2})
		m.Linked = true
		m.RosterWrite = 1
		p.UpdateLoad(now, m, &wirepb.Load{Slots: 2, Open: true, Room: 3})
		members = append(members, m)
	}
	return p, members
}

func requirements() agent.Requirements { return agent.Requirements{Service: "s", Kind: "k"} }

func pickID(p *agent.Pool, now time.Duration, r agent.Requirements) string {
	m := p.Pick(now, r)
	if m == nil {
		return "none"
	}
	return m.ID
}

func TestPick(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name         string
		setup        func(p *agent.Pool, m []*agent.Member)
		requirements agent.Requirements
		want         string
	}{
		{"the faster member", func(p *agent.Pool, m []*agent.Member) {
			p.RecordSuccess(m[0], "k", 200*ms, 0)
			p.RecordSuccess(m[1], "k", 100*ms, 0)
		}, requirements(), "b"},
		{"the faster member, measured on another kind", func(p *agent.Pool, m []*agent.Member) {
			p.RecordSuccess(m[0], "other", 200*ms, 0)
			p.RecordSuccess(m[1], "other", 100*ms, 0)
		}, requirements(), "b"},
		{"an idle slow member rather than a fast one with a queue", func(p *agent.Pool, m []*agent.Member) {
			p.RecordSuccess(m[0], "k", 150*ms, 0)
			p.RecordSuccess(m[1], "k", 100*ms, 0)
			p.UpdateLoad(now, m[1], &wirepb.Load{Slots: 2, Open: true, Running: 2, Queued: 1, Room: 1})
		}, requirements(), "a"},
		{"not a member out of service", func(_ *agent.Pool, m []*agent.Member) { m[0].OutOfService = true }, requirements(), "b"},
		{"not a member without a link", func(_ *agent.Pool, m []*agent.Member) { m[0].Linked = false }, requirements(), "b"},
		{"not a member without room", func(p *agent.Pool, m []*agent.Member) {
			p.UpdateLoad(now, m[0], &wirepb.Load{Slots: 2, Open: true})
		}, requirements(), "b"},
		{"not a member that has just refused a start", func(p *agent.Pool, m []*agent.Member) { p.RecordRefusal(now, m[0]) }, requirements(), "b"},
		{
			"not a member missing from the roster", func(_ *agent.Pool, m []*agent.Member) { m[0].RosterWrite = 2 },
			agent.Requirements{Service: "s", Kind: "k", Claimed: true, RosterWrite: 1},
			"b",
		},
		{
			"not a member with too little memory", func(_ *agent.Pool, m []*agent.Member) { m[0].MemoryMB = 10 },
			agent.Requirements{Service: "s", Kind: "k", MemoryMB: 20},
			"b",
		},
		{"not a member for other kinds", func(_ *agent.Pool, m []*agent.Member) { m[0].Kinds = []string{"x"} }, requirements(), "b"},
		{"not a member of another service", func(*agent.Pool, []*agent.Member) {}, agent.Requirements{Service: "t", Kind: "k"}, "none"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, m := newPool(now, 2)
			tt.setup(p, m)
			if got := pickID(p, now, tt.requirements); got != tt.want {
				t.Errorf("picked %s, want %s", got, tt.want)
			}
		})
	}
}

// A member that fails every task gets one task at a time after delays that
// double, and is used normally again once a task succeeds. Without the suspension
// such a member would appear idle and fast, and attract all tasks.
func TestFailingMember(t *testing.T) {
	now := time.Minute
	p, m := newPool(now, 2)
	m[1].Kinds = []string{"other"}
	for i := range 3 {
		if got := pickID(p, now, requirements()); got != "a" {
			t.Fatalf("picked %s before the member counts as failing, want a", got)
		}
		p.RecordFailure(now, m[0], agent.TaskRef{Job: fmt.Sprint(i)})
	}
	var attempts []time.Duration
	for at := now; at < now+20*time.Second; at += 100 * ms {
		p.UpdateLoad(at, m[0], &wirepb.Load{Slots: 2, Open: true, Room: 3})
		if p.Pick(at, requirements()) == nil {
			continue
		}
		attempts = append(attempts, at-now)
		p.RecordTaskSent(at, m[0], agent.TaskRef{Job: "j"}, resources.Resources{})
		if p.Pick(at, requirements()) != nil {
			t.Errorf("a failing member with an open task is picked again at %s, want no member", at-now)
		}
		p.RecordTaskEnded(m[0], agent.TaskRef{Job: "j"})
		p.RecordFailure(at, m[0], agent.TaskRef{Job: fmt.Sprint(at)})
	}
	want := "[500ms 1.5s 3.5s 7.5s 15.5s]"
	if got := fmt.Sprint(attempts); got != want {
		t.Errorf("the failing member is picked after %s, want %s", got, want)
	}
	p.RecordSuccess(m[0], "k", 100*ms, 0)
	p.UpdateLoad(now+20*time.Second, m[0], &wirepb.Load{Slots: 2, Open: true, Room: 3})
	if got := pickID(p, now+20*time.Second, requirements()); got != "a" {
		t.Errorf("picked %s after a task succeeded, want a", got)
	}
}

// A single job that always fails does not suspend a member. Failing members are
// used nevertheless if all members fail, because the fault then probably lies
// with the tasks.
func TestFailingJob(t *testing.T) {
	now := time.Minute
	p, m := newPool(now, 2)
	for range 10 {
		p.RecordFailure(now, m[0], agent.TaskRef{Job: "bad"})
	}
	if m[0].Failing() {
		t.Error("a member counts as failing after failures of a single job, want not failing")
	}
	for i := range 10 {
		p.RecordFailure(now, m[0], agent.TaskRef{Job: fmt.Sprint(i)})
		p.RecordFailure(now, m[1], agent.TaskRef{Job: fmt.Sprint(i)})
	}
	if got := pickID(p, now, requirements()); got == "none" {
		t.Error("no member is picked when all members fail, want any member")
	}
}

// Guards against tasks that are placed by the labels of an endpoint that was replaced:
// a load report of the new endpoint may arrive before its description, and an outdated
// description after it.
func TestReplacedEndpointNeedsItsDescription(t *testing.T) {
	p, members := newPool(0, 1)
	m := members[0]
	describe := func(endpoint uint64, label string) {
		p.AddOrUpdate(0, &wirepb.AgentInfo{Id: "a", Incarnation: "a.1", Zone: "z", Service: "s", Slots: 2, Endpoint: endpoint, Labels: []string{label}})
	}
	report := func(endpoint uint64) {
		p.UpdateLoad(0, m, &wirepb.Load{Slots: 2, Open: true, Room: 3, Endpoint: endpoint})
	}
	r := requirements()
	r.Label = "x"
	describe(1, "x")
	report(1)
	if got := pickID(p, 0, r); got != "a" {
		t.Fatalf("picked %s, want the described endpoint", got)
	}
	report(2)
	if got := pickID(p, 0, r); got != "none" {
		t.Errorf("picked %s by the labels of the earlier endpoint", got)
	}
	describe(2, "y")
	describe(1, "x")
	report(2)
	if got := pickID(p, 0, r); got != "none" {
		t.Errorf("picked %s by an outdated description", got)
	}
	r.Label = "y"
	if got := pickID(p, 0, r); got != "a" {
		t.Errorf("picked %s, want the new endpoint", got)
	}
}

// Guards against a sound endpoint that gets no tasks for the faults of the one before it
// at its agent, and against tasks that are placed by that one's speed.
func TestReplacedEndpointIsMeasuredAnew(t *testing.T) {
	const now = time.Minute
	for _, tt := range []struct {
		name   string
		record func(p *agent.Pool, m []*agent.Member)
	}{
		{"failures", func(p *agent.Pool, m []*agent.Member) {
			p.UpdateLoad(now, m[1], &wirepb.Load{Slots: 2, Open: true})
			for i := range 3 {
				p.RecordFailure(now, m[0], agent.TaskRef{Team: "t", Job: fmt.Sprint(i)})
			}
		}},
		{"refusals", func(p *agent.Pool, m []*agent.Member) {
			p.UpdateLoad(now, m[1], &wirepb.Load{Slots: 2, Open: true})
			p.RecordRefusal(now, m[0])
		}},
		{"speed", func(p *agent.Pool, m []*agent.Member) {
			for range 3 {
				p.RecordSuccess(m[1], "k", 100*ms, 0)
			}
			p.RecordSuccess(m[0], "k", time.Second, 0)
			p.UpdateLoad(now, m[1], &wirepb.Load{Slots: 2, Open: true, Running: 2, Queued: 4, Room: 1})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, members := newPool(now, 2)
			tt.record(p, members)
			if got := pickID(p, now, requirements()); got == "a" {
				t.Fatal("picked the endpoint that was measured")
			}
			p.AddOrUpdate(now, &wirepb.AgentInfo{Id: "a", Incarnation: "a.1", Zone: "z", Service: "s", Slots: 2, Endpoint: 1})
			members[0].AcceptsStarts = true
			if got := pickID(p, now, requirements()); got != "a" {
				t.Errorf("picked %s, want the endpoint that has replaced it", got)
			}
		})
	}
}

// Guards against tasks that are placed by the labels of an endpoint that was replaced, by
// an agent of a version that does not number endpoints: its report that the next one is
// ready may arrive before the description.
func TestUnnumberedEndpointIsDescribedAgain(t *testing.T) {
	p, members := newPool(0, 1)
	describe := func(label string) {
		p.AddOrUpdate(0, &wirepb.AgentInfo{Id: "a", Incarnation: "a.1", Zone: "z", Service: "s", Slots: 2, Labels: []string{label}})
	}
	labelled := requirements()
	labelled.Label = "x"
	describe("x")
	for _, open := range []bool{false, true} {
		p.UpdateLoad(0, members[0], &wirepb.Load{Slots: 2, Open: open, Room: 3})
	}
	if got := pickID(p, 0, labelled); got != "none" {
		t.Errorf("picked %s by the labels of the earlier endpoint", got)
	}
	if got := pickID(p, 0, requirements()); got != "a" {
		t.Errorf("picked %s for a task without a label, want a", got)
	}
	describe("x")
	if got := pickID(p, 0, labelled); got != "a" {
		t.Errorf("picked %s after the description, want a", got)
	}
}

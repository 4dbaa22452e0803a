package agent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

const ms = time.Millisecond

// poolOf returns a pool of open, linked members with 2 slots each, "a", "b" and
// so on, that have just reported room for 3.
func poolOf(now time.Duration, n int) (*agent.Pool, []*agent.Member) {
	p := agent.NewPool()
	var members []*agent.Member
	for i := range n {
		id := string(rune('a' + i))
		m, _ := p.Announce(now, &wirepb.AgentInfo{Id: id, Incarnation: id + ".1", Zone: "z", Service: "s", Slots: 2})
		m.Linked = true
		m.Roster = 1
		p.Report(now, m, &wirepb.Load{Slots: 2, Open: true, Room: 3})
		members = append(members, m)
	}
	return p, members
}

func need() agent.Need { return agent.Need{Service: "s", Kind: "k"} }

func picked(p *agent.Pool, now time.Duration, n agent.Need) string {
	m := p.Pick(now, n)
	if m == nil {
		return "none"
	}
	return m.ID
}

func TestPick(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name  string
		setup func(p *agent.Pool, m []*agent.Member)
		need  agent.Need
		want  string
	}{
		{"the faster one", func(p *agent.Pool, m []*agent.Member) {
			p.Ran(m[0], "k", 200*ms, 0)
			p.Ran(m[1], "k", 100*ms, 0)
		}, need(), "b"},
		{"the faster one by other kinds", func(p *agent.Pool, m []*agent.Member) {
			p.Ran(m[0], "other", 200*ms, 0)
			p.Ran(m[1], "other", 100*ms, 0)
		}, need(), "b"},
		{"a slow free one before a long wait", func(p *agent.Pool, m []*agent.Member) {
			p.Ran(m[0], "k", 150*ms, 0)
			p.Ran(m[1], "k", 100*ms, 0)
			p.Report(now, m[1], &wirepb.Load{Slots: 2, Open: true, Running: 2, Queued: 1, Room: 1})
		}, need(), "a"},
		{"none out of service", func(_ *agent.Pool, m []*agent.Member) { m[0].Out = true }, need(), "b"},
		{"none unlinked", func(_ *agent.Pool, m []*agent.Member) { m[0].Linked = false }, need(), "b"},
		{"none without room", func(p *agent.Pool, m []*agent.Member) {
			p.Report(now, m[0], &wirepb.Load{Slots: 2, Open: true})
		}, need(), "b"},
		{"none that refused just now", func(p *agent.Pool, m []*agent.Member) { p.Refused(now, m[0]) }, need(), "b"},
		{
			"none off the roster", func(_ *agent.Pool, m []*agent.Member) { m[0].Roster = 2 },
			agent.Need{Service: "s", Kind: "k", Claimed: true, Roster: 1},
			"b",
		},
		{
			"none too small", func(_ *agent.Pool, m []*agent.Member) { m[0].MemoryMB = 10 },
			agent.Need{Service: "s", Kind: "k", MemoryMB: 20},
			"b",
		},
		{"none of another kind", func(_ *agent.Pool, m []*agent.Member) { m[0].Kinds = []string{"x"} }, need(), "b"},
		{"none of another service", func(*agent.Pool, []*agent.Member) {}, agent.Need{Service: "t", Kind: "k"}, "none"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, m := poolOf(now, 2)
			tt.setup(p, m)
			if got := picked(p, now, tt.need); got != tt.want {
				t.Errorf("picked %s, want %s", got, tt.want)
			}
		})
	}
}

// A member that fails everything is sent one task now and then, less and less
// often, and is back once one succeeds.
func TestFailingMember(t *testing.T) {
	now := time.Minute
	p, m := poolOf(now, 2)
	m[1].Kinds = []string{"other"}
	for i := range 3 {
		if got := picked(p, now, need()); got != "a" {
			t.Fatalf("picked %s before the member counts as failing", got)
		}
		p.Failed(now, m[0], agent.Ref{Job: fmt.Sprint(i)})
	}
	var tries []time.Duration
	for at := now; at < now+20*time.Second; at += 100 * ms {
		p.Report(at, m[0], &wirepb.Load{Slots: 2, Open: true, Room: 3})
		if p.Pick(at, need()) == nil {
			continue
		}
		tries = append(tries, at-now)
		p.Sent(at, m[0], agent.Ref{Job: "j"})
		if p.Pick(at, need()) != nil {
			t.Errorf("a second task for a failing member at %s", at-now)
		}
		p.Ended(m[0], agent.Ref{Job: "j"})
		p.Failed(at, m[0], agent.Ref{Job: fmt.Sprint(at)})
	}
	want := "[500ms 1.5s 3.5s 7.5s 15.5s]"
	if got := fmt.Sprint(tries); got != want {
		t.Errorf("tried after %s, want %s", got, want)
	}
	p.Ran(m[0], "k", 100*ms, 0)
	p.Report(now+20*time.Second, m[0], &wirepb.Load{Slots: 2, Open: true, Room: 3})
	if got := picked(p, now+20*time.Second, need()); got != "a" {
		t.Errorf("picked %s after a task succeeded", got)
	}
}

// One job that always fails takes no member out, and when all members fail none
// is left out.
func TestFailingJob(t *testing.T) {
	now := time.Minute
	p, m := poolOf(now, 2)
	for range 10 {
		p.Failed(now, m[0], agent.Ref{Job: "bad"})
	}
	if m[0].Failing() {
		t.Error("a member counts as failing for one job")
	}
	for i := range 10 {
		p.Failed(now, m[0], agent.Ref{Job: fmt.Sprint(i)})
		p.Failed(now, m[1], agent.Ref{Job: fmt.Sprint(i)})
	}
	if got := picked(p, now, need()); got == "none" {
		t.Error("no member is picked although all fail alike")
	}
}

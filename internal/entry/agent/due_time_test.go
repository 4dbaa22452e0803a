package agent_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// A task waits for a fast member that is full if it is expected to end by its due
// time there, but too late on a slow member that has room. The fast member "a"
// runs a task in 100 ms, the slow member "b" in 250 ms.
func TestPickWithDueTime(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name     string
		fastRoom uint32 // starts that the fast member accepts
		due      time.Duration
		want     string
	}{
		{"the task ends in time on both members", 1, now + 400*ms, "a"},
		{"the fast member is full, the task ends in time on the slow one", 0, now + 400*ms, "b"},
		{"the task ends late on the slow member, in time on the fast one once it has room", 0, now + 240*ms, "none"},
		{"the task ends late on both members", 0, now + 100*ms, "b"},
		{"no due time", 0, 0, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, m := newPool(now, 2)
			for range 50 {
				p.RecordSuccess(m[0], "k", 100*ms, 100*ms)
				p.RecordSuccess(m[1], "k", 250*ms, 100*ms)
			}
			p.UpdateLoad(now, m[0], &wirepb.Load{Slots: 2, Running: 2 - tt.fastRoom, Open: true, Room: tt.fastRoom})
			r := agent.Requirements{Service: "s", Kind: "k", DeclaredRunTime: 100 * ms, Due: tt.due}
			if got := pickID(p, now, r); got != tt.want {
				t.Errorf("picked %s, want %s", got, tt.want)
			}
		})
	}
}

// The expected run time of a task is proportional to the run time that it
// declares.
func TestExpectedRunTimeOfDeclaredTime(t *testing.T) {
	p, m := newPool(time.Minute, 1)
	for range 50 {
		p.RecordSuccess(m[0], "k", 200*ms, 100*ms)
	}
	if got := p.ExpectedRunTime(agent.Requirements{Service: "s", Kind: "k", DeclaredRunTime: 300 * ms}); got < 590*ms || got > 610*ms {
		t.Errorf("expected run time of a task that declares 300 ms is %s, want 600 ms", got)
	}
	if got := p.ExpectedRunTime(agent.Requirements{Service: "s", Kind: "k"}); got < 190*ms || got > 210*ms {
		t.Errorf("expected run time of a task that declares none is %s, want 200 ms", got)
	}
}

// The configuration gives the run time of tasks that declare none, until their
// kind was measured.
func TestExpectedRunTimeByConfiguration(t *testing.T) {
	p, m := newPool(time.Minute, 1)
	r := agent.Requirements{Service: "s", Kind: "k", DefaultRunTime: 40 * ms}
	if got := p.ExpectedRunTime(r); got != 40*ms {
		t.Errorf("expected run time before any was measured is %s, want 40ms", got)
	}
	r.DeclaredRunTime = 70 * ms
	if got := p.ExpectedRunTime(r); got != 70*ms {
		t.Errorf("expected run time of a task that declares one is %s, want 70ms", got)
	}
	r.DeclaredRunTime = 0
	p.RecordSuccess(m[0], "k", 200*ms, 0)
	if got := p.ExpectedRunTime(r); got != 200*ms {
		t.Errorf("expected run time once one was measured is %s, want 200ms", got)
	}
}

package agent_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// Endpoints differ in speed by more than what jobs are given to spare: the fast
// "a" takes 100 ms, the slow "b" 250 ms.
func TestPickWithDueTime(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name string
		room uint32 // of the fast member
		due  time.Duration
		want string
	}{
		{"both in time", 1, now + 400*ms, "a"},
		{"the fast one is full, the slow one in time", 0, now + 400*ms, "b"},
		{"the slow one is late, the fast one in time after a wait", 0, now + 240*ms, "none"},
		{"late everywhere", 0, now + 100*ms, "b"},
		{"no due time", 0, 0, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, m := poolOf(now, 2)
			for range 50 {
				p.Ran(m[0], "k", 100*ms, 100*ms)
				p.Ran(m[1], "k", 250*ms, 100*ms)
			}
			p.Report(now, m[0], &wirepb.Load{Slots: 2, Running: 2 - tt.room, Open: true, Room: tt.room})
			n := agent.Need{Service: "s", Kind: "k", Declared: 100 * ms, Due: tt.due}
			if got := picked(p, now, n); got != tt.want {
				t.Errorf("picked %s, want %s", got, tt.want)
			}
		})
	}
}

// A declared time tells long tasks of a kind from short ones.
func TestExpectedByDeclaredTime(t *testing.T) {
	p, m := poolOf(time.Minute, 1)
	for range 50 {
		p.Ran(m[0], "k", 200*ms, 100*ms)
	}
	if got := p.Expected(agent.Need{Service: "s", Kind: "k", Declared: 300 * ms}); got < 590*ms || got > 610*ms {
		t.Errorf("expected %s for a task that declares 300 ms, want 600 ms", got)
	}
	if got := p.Expected(agent.Need{Service: "s", Kind: "k"}); got < 190*ms || got > 210*ms {
		t.Errorf("expected %s for a task that declares nothing, want 200 ms", got)
	}
}

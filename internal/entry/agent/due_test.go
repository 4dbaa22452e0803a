package agent_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// A task waits for a fast member that is full if it would end after its due time
// on a slow one. The fast member "a" takes 100 ms per task, the slow member "b"
// 250 ms.
func TestPickWithDueTime(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name     string
		fastRoom uint32 // starts that the fast member accepts
		due      time.Duration
		want     string
	}{
		{"both members are in time", 1, now + 400*ms, "a"},
		{"the fast member is full, the slow one in time", 0, now + 400*ms, "b"},
		{"the slow member is late, the fast one in time once it has room", 0, now + 240*ms, "none"},
		{"both members are late", 0, now + 100*ms, "b"},
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
			n := agent.Requirements{Service: "s", Kind: "k", DeclaredRunTime: 100 * ms, Due: tt.due}
			if got := pickID(p, now, n); got != tt.want {
				t.Errorf("picked %s, want %s", got, tt.want)
			}
		})
	}
}

// The expected run time of a task is proportional to the run time that it
// declares.
func TestExpectedByDeclaredTime(t *testing.T) {
	p, m := newPool(time.Minute, 1)
	for range 50 {
		p.RecordSuccess(m[0], "k", 200*ms, 100*ms)
	}
	if got := p.ExpectedRunTime(agent.Requirements{Service: "s", Kind: "k", DeclaredRunTime: 300 * ms}); got < 590*ms || got > 610*ms {
		t.Errorf("expected %s for a task that declares 300 ms, want 600 ms", got)
	}
	if got := p.ExpectedRunTime(agent.Requirements{Service: "s", Kind: "k"}); got < 190*ms || got > 210*ms {
		t.Errorf("expected %s for a task that declares no run time, want 200 ms", got)
	}
}

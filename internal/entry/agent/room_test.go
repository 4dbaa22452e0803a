package agent_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// Tasks of unequal size share endpoints that are nearly full. By the average
// size the fast endpoint has a slot left, but the task does not fit there and
// would wait in the agent's queue, while another endpoint can start it at once.
func TestTaskThatDoesNotFitGoesWhereItStartsAtOnce(t *testing.T) {
	const now = time.Minute
	report := func(running, freeMilli uint32, ratio float32) *wirepb.Load {
		return &wirepb.Load{Slots: 6, Running: running, Open: true, Room: 7 - running, RunTimeRatio: ratio, Free: &wirepb.Resources{CpuMilli: freeMilli}}
	}
	for _, tt := range []struct {
		name string
		fast *wirepb.Load
		age  time.Duration // of the report of the fast endpoint
		want string
	}{
		{"it fits on the fast one", report(5, 3000, 0.8), 0, "a"},
		{"it does not fit on the fast one", report(5, 2000, 0.8), 0, "b"},
		{"it did not fit, but by now tasks should have ended", report(5, 2000, 0.8), 90 * ms, "a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, m := newPool(now, 2)
			for _, member := range m {
				member.Capacity = resources.Resources{CPUMilli: 16000}
				for range 20 {
					p.RecordSuccess(member, "k", 100*ms, 100*ms)
				}
			}
			p.UpdateLoad(now-tt.age, m[0], tt.fast)
			p.UpdateLoad(now, m[1], report(1, 13000, 0.9))
			r := agent.Requirements{Service: "s", Kind: "k", DeclaredRunTime: 100 * ms, Resources: resources.Resources{CPUMilli: 2500}}
			if got := pickID(p, now, r); got != tt.want {
				t.Errorf("picked %s, want %s", got, tt.want)
			}
		})
	}
}

package agent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// BenchmarkPick measures the selection among 80 linked agents, of which every eighth
// (busy) or each (idle) has room.
func BenchmarkPick(b *testing.B) {
	const now = time.Minute
	for name, roomEvery := range map[string]int{"busy": 8, "idle": 1} {
		b.Run(name, func(b *testing.B) {
			p := agent.NewPool()
			for i := range 80 {
				id := fmt.Sprint(i)
				m, _ := p.AddOrUpdate(now, &wirepb.AgentInfo{Id: id, Incarnation: id, Service: "s", Capacity: &wirepb.Resources{CpuMilli: 64000, MemoryMb: 64000}})
				m.Linked = true
				load := &wirepb.Load{Slots: 13, Running: 13, Open: true, RunTimeRatio: 0.7 + float32(i%3)/2, Free: &wirepb.Resources{CpuMilli: uint32(i * 100), MemoryMb: 9000}}
				if i%roomEvery == 0 {
					load.Room = 2
				}
				p.UpdateLoad(now, m, load)
				p.RecordSuccess(m, "k", 100*ms, 100*ms)
			}
			r := agent.Requirements{Service: "s", Kind: "k", DeclaredRunTime: 100 * ms, Due: now + 300*ms, Resources: resources.Resources{CPUMilli: 4800, MemoryMB: 500}}
			for b.Loop() {
				p.Pick(now+5*ms, r)
			}
		})
	}
}

package agent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/entry/fit"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/task/resources"
)

// Guards against fast endpoints that are filled with work that would be on time
// elsewhere. A burst of two wide jobs arrives at four idle endpoints of 64 cores and speed 0.7
// and two of 96 cores and speed 1.7: 44 tasks that are due in 400 ms, then 32 that are
// due in 90 ms, each of 60 ms at speed 1 and 2.4 to 7.2 cores. All can be on time.
func TestBurstOfWideJobs(t *testing.T) {
	const now = time.Minute
	p := agent.NewPool()
	for i := range 6 {
		speed, cores := float32(0.7), uint32(64)
		if i < 2 {
			speed, cores = 1.7, 96
		}
		id := fmt.Sprint(i)
		m, _ := p.AddOrUpdate(now, &wirepb.AgentInfo{Id: id, Incarnation: id, Service: "s", Capacity: &wirepb.Resources{CpuMilli: 1000 * cores}})
		m.Linked = true
		p.UpdateLoad(now, m, &wirepb.Load{Slots: cores / 5, Open: true, Room: cores / 4, RunTimeRatio: 1 / speed, Free: &wirepb.Resources{CpuMilli: 1000 * cores}})
	}
	used := map[*agent.Member]int{}
	onTime := map[time.Duration]int{}
	place := func(i int, due time.Duration, waiting fit.Waiting) {
		need := 2400 + i*1700%4801
		m := p.Pick(now, agent.Requirements{Service: "s", Kind: "k", DeclaredRunTime: 60 * ms, Due: now + due, Waiting: waiting, Resources: resources.Resources{CPUMilli: need}})
		p.RecordTaskSent(now, m, agent.TaskRef{Job: due.String(), Task: i}, resources.Resources{CPUMilli: need})
		used[m] += need
		runTime := 600 * ms / 7
		if m.Capacity.CPUMilli == 96000 {
			runTime = 600 * ms / 17
		}
		if used[m] <= m.Capacity.CPUMilli && fit.OnTime(0, runTime, due) {
			onTime[due]++
		}
	}
	for i := range 44 {
		place(i, 400*ms, fit.Waiting{Tasks: 32, Need: resources.Resources{CPUMilli: 4800}, Due: now + 90*ms, RelativeRunTime: 1})
	}
	for i := range 32 {
		place(i, 90*ms, fit.Waiting{})
	}
	if onTime[400*ms] != 44 || onTime[90*ms] != 32 {
		t.Errorf("on time at once are %d of 44 tasks due in 400 ms and %d of 32 due in 90 ms, want all", onTime[400*ms], onTime[90*ms])
	}
}

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

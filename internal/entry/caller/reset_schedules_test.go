package caller_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simConnection is the connection on which the caller of a repeatable job waits for
// its answer.
type simConnection struct {
	entry      *simEntry
	disconnect func() // does nothing once the caller has an answer
}

// resetConnections breaks the connections of all callers of an entry and all of its
// links at the same time, and the links again at short intervals for the given
// time. Messages on their way are lost.
func (sim *simulation) resetConnections(e *simEntry, flapping time.Duration) {
	sim.resetLinks(e)
	open := sim.connections
	sim.connections = nil
	for _, c := range open {
		if c.entry == e {
			sim.after(sim.randomDuration(0, 5*ms), c.disconnect)
		} else {
			sim.connections = append(sim.connections, c)
		}
	}
	until := sim.now + flapping
	var again func()
	again = func() {
		if sim.now < until {
			sim.resetLinks(e)
			sim.after(sim.randomDuration(10*ms, 100*ms), again)
		}
	}
	sim.after(sim.randomDuration(10*ms, 100*ms), again)
}

func (sim *simulation) resetLinks(e *simEntry) {
	for _, a := range sim.agents {
		sim.breakLink(e.links[a.inc], true)
	}
}

// resetSchedules draws schedules in which about every third disturbance resets
// connections. The entry is sent another job soon afterwards, so that its links are
// in use.
var resetSchedules = rapid.Custom(func(t *rapid.T) schedule {
	s := schedules.Draw(t, "schedule")
	for i := range s.Disturbances {
		if i == 0 || drawUniform(t, 3) == 0 {
			d := &s.Disturbances[i]
			d.Kind = resetConns
			s.Jobs = append(s.Jobs, submission{
				Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"),
				At:    []int{d.At + 10 + drawUniform(t, 400)},
				Entry: []int{d.Target % simEntries},
			})
		}
	}
	return s
})

// TestRepeatableResetSchedules checks the same as TestRepeatableSchedules, which
// breaks callers' connections and links only separately. It guards against runs that
// go on because their cancel was lost with a link. It runs a quarter of the schedules.
func TestRepeatableResetSchedules(t *testing.T) {
	const batch = 50
	end := *scheduleFirst + max(1, *scheduleCount/4)
	for first := *scheduleFirst; first < end; first += batch {
		t.Run(fmt.Sprintf("from %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < min(first+batch, end); seed++ {
				if violations := runRepeatableSchedule(seed, resetSchedules.Example(seed), false); len(violations) > 0 {
					t.Errorf("go test ./internal/entry/caller -run TestRepeatableResetSchedules$ -schedules 1 -first %d: %+v\n%q", seed, resetSchedules.Example(seed), violations)
					return
				}
			}
		})
	}
}

// A cancel that is lost because the entry's links break together with its callers'
// connections must not leave a run beside that of the resubmitted job. The entry has
// another job by then, so that its silence does not end the run.
func TestCancelLostWithItsLinkEndsTheRun(t *testing.T) {
	sim := newSimulation(1, 1, 0)
	sim.leased, sim.runTime = true, 5*time.Second
	a := &simAgent{zone: "a", speed: 1}
	sim.agents = append(sim.agents, a)
	sim.startAgent(a)
	submitAt := func(at time.Duration, j *simJob) {
		sim.run(at)
		sim.jobs = append(sim.jobs, j)
		sim.submitRepeatable(j, sim.entries[0], 0)
	}
	submitAt(time.Second, newSimJob(0, 1))
	sim.run(1500 * ms)
	if sim.runCounts["j0.0.0"] != 1 {
		t.Fatal("the task does not run before the connections break")
	}
	sim.resetConnections(sim.entries[0], 0)
	submitAt(1550*ms, newSimJob(1, 1))
	sim.run(1500*ms + resubmitDelay - ms)
	if sim.runCounts["j1.0.0"] != 1 {
		t.Error("the task of the other job does not run")
	}
	if sim.runCounts["j0.0.0"] != 0 {
		t.Error("the run goes on when the caller resubmits the job")
	}
}

package caller_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxLateness bounds how late an entry that is short of processor time handles events
// without counting as interrupted.
const maxLateness = 150 * ms

// handleLate makes an entry handle its events late for some time.
func (sim *simulation) handleLate(e *simEntry, length time.Duration) {
	inc := e.inc
	e.lateness = sim.randomDuration(20*ms, maxLateness)
	sim.after(length, func() {
		if e.inc == inc {
			e.lateness = 0
		}
	})
}

// lateSchedules draws schedules of resets around which the entry handles events late.
// It is sent small jobs just before each reset.
var lateSchedules = rapid.Custom(func(t *rapid.T) schedule {
	s := resetSchedules.Draw(t, "schedule")
	for i, d := range s.Disturbances {
		if d.Kind != resetConns {
			continue
		}
		s.Disturbances[i].For = drawUniform(t, 200)
		s.Disturbances = append(s.Disturbances, disturbance{
			Kind: handleLate, Target: d.Target, At: d.At - 200 - drawUniform(t, 100), For: 300 + drawUniform(t, 300),
		})
		for range 4 {
			s.Jobs = append(s.Jobs, submission{
				Tasks: 1,
				At:    []int{d.At - drawUniform(t, int(maxLateness/ms))},
				Entry: []int{d.Target % simEntries},
			})
		}
	}
	return s
})

// runLateSchedule runs a schedule with tasks that take longer than callers wait before
// they submit a job again.
func runLateSchedule(seed int, s schedule, anySession bool) []string {
	sim := newRepeatableSimulation(seed, false)
	sim.anySession = anySession
	sim.runTime = resubmitDelay + 300*ms
	return sim.runSchedule(s)
}

// TestRepeatableLateSchedules checks the same as TestRepeatableResetSchedules, in which
// an entry handles the end of a session before the next one begins. It guards against
// runs that go on because their start was decided on for a session that had ended. It
// runs a quarter of the schedules.
func TestRepeatableLateSchedules(t *testing.T) {
	const batch = 50
	end := *scheduleFirst + max(1, *scheduleCount/4)
	for first := *scheduleFirst; first < end; first += batch {
		t.Run(fmt.Sprintf("from %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < min(first+batch, end); seed++ {
				if violations := runLateSchedule(seed, lateSchedules.Example(seed), false); len(violations) > 0 {
					t.Errorf("go test ./internal/entry/caller -run TestRepeatableLateSchedules$ -schedules 1 -first %d: %+v\n%q", seed, lateSchedules.Example(seed), violations)
					return
				}
			}
		})
	}
}

// TestRepeatableLateSchedulesFindOtherSession verifies that the checks of
// TestRepeatableLateSchedules detect a fault: if messages are sent in another session
// than the one that they were decided on for, a task has two concurrent runs.
func TestRepeatableLateSchedulesFindOtherSession(t *testing.T) {
	t.Parallel()
	for seed := 1; seed <= 500; seed++ {
		if len(runLateSchedule(seed, lateSchedules.Example(seed), true)) > 0 {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Error("none of the 500 schedules detects that messages are sent in another session")
}

// A start that is decided on after its link has been reset must not outlive the job,
// whose caller left with the reset: the entry sends no cancel while it takes the link
// for closed. It has another job afterwards, so that its silence does not end the run.
func TestStartDecidedOnAfterAResetEndsWithItsJob(t *testing.T) {
	sim := newSimulation(1, 2, 0)
	sim.leased, sim.runTime = true, 50*ms
	for i := range 2 {
		a := &simAgent{index: i, zone: "a", speed: 1}
		sim.agents = append(sim.agents, a)
		sim.startAgent(a)
	}
	e := sim.entries[0]
	submitAt := func(at time.Duration, j *simJob) {
		sim.run(at)
		sim.jobs = append(sim.jobs, j)
		sim.submitRepeatable(j, e, 0)
	}
	// The agent accepts starts of an entry that it has heard of lately.
	submitAt(900*ms, newSimJob(0, 1))
	sim.run(time.Second)
	e.lateness, sim.runTime = 60*ms, 5*time.Second
	submitAt(time.Second, newSimJob(1, 1))
	sim.run(1020 * ms)
	sim.resetLinks(e)
	// The session has ended, and the next one has not begun.
	sim.run(1030 * ms)
	sim.connections[1].disconnect()
	submitAt(1100*ms, newSimJob(2, 1))
	sim.run(1200 * ms)
	e.lateness = 0
	sim.run(1030*ms + resubmitDelay - ms)
	if sim.runCounts["j2.0.0"] != 1 {
		t.Error("the task of the other job does not run")
	}
	if sim.runCounts["j1.0.0"] != 0 {
		t.Error("the task runs when its caller submits the job again")
	}
	sim.run(3 * time.Second)
	if sim.runCounts["j1.0.0"] != 1 {
		t.Errorf("%d runs of the task after its caller has submitted the job again, want 1", sim.runCounts["j1.0.0"])
	}
	for _, v := range sim.violations {
		t.Error(v)
	}
}

package caller_test

import (
	"strings"
	"testing"
	"time"

	agententry "github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

const (
	// deadlyAfter is how long after its start a deadly task crashes its endpoint.
	deadlyAfter = 10 * ms
	// crashNotice bounds the time until an agent knows of the crash. The runs end at
	// most when the lease lapses.
	crashNotice = simLeaseTTL
	// crashDowntime is how long a crashed endpoint is down.
	crashDowntime = 800 * ms
)

// simCrashes configures and counts crashes of endpoints by tasks.
type simCrashes struct {
	deadlyJobs []string // by prefix of the task's name
	byTask     map[string]int
	// maxFurtherStarts is how many times a task may start after three crashes, and
	// furtherStarts how many times each did.
	maxFurtherStarts int
	furtherStarts    map[string]int
}

func (c *simCrashes) isDeadly(task string) bool {
	for _, prefix := range c.deadlyJobs {
		if strings.HasPrefix(task, prefix) {
			return true
		}
	}
	return false
}

// recordDeadlyStart checks how often a task starts after three crashes.
func (sim *simulation) recordDeadlyStart(task string) {
	c := &sim.crashes
	if c.byTask[task] < 3 {
		return
	}
	if c.furtherStarts == nil {
		c.furtherStarts = map[string]int{}
	}
	c.furtherStarts[task]++
	if c.furtherStarts[task] > c.maxFurtherStarts {
		sim.reportViolation("task %s started %d times after three crashes, want at most %d", task, c.furtherStarts[task], c.maxFurtherStarts)
	}
}

// crashEndpoint ends all runs of an endpoint. The agent knows of it some time later,
// and the endpoint is back after crashDowntime.
func (sim *simulation) crashEndpoint(a *simAgent, task string) {
	if sim.crashes.byTask == nil {
		sim.crashes.byTask = map[string]int{}
	}
	if task != "" {
		sim.crashes.byTask[task]++
	}
	inc := a.inc
	sim.deliverToAgent(a, inc, agententry.EndpointChanged{Endpoint: agententry.Endpoint{Number: a.endpointNumber}})
	notice := sim.randomDuration(5*ms, crashNotice)
	for r := range a.endpoint.runs {
		if sim.endRun(a, r) {
			sim.after(notice, func() {
				sim.deliverToAgent(a, r.agentInc, agententry.TaskEnded{Ref: r.ref, Reason: reason.EndpointCrashed})
			})
		}
	}
	sim.after(crashDowntime, func() {
		if a.inc == inc {
			a.endpointNumber++
		}
		sim.deliverToAgent(a, inc, a.endpointReady())
	})
}

// TestDeadlySchedules runs random schedules of failures in which the tasks of some
// jobs crash every endpoint that starts them, and callers submit their jobs again
// elsewhere. Three starts after three crashes break the users' rule. While entries are
// only killed and stalled, one is allowed: an entry that has just started may not be
// linked to all agents yet.
func TestDeadlySchedules(t *testing.T) {
	tests := []struct {
		name             string
		kinds            []int
		maxFurtherStarts int
	}{
		{"entries killed", []int{killEntry, stallEntry}, 1},
		{"all failures", nil, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := *scheduleFirst; seed < *scheduleFirst+max(1, *scheduleCount/5); seed++ {
				sim := newRepeatableSimulation(seed, false)
				sim.crashes = simCrashes{deadlyJobs: []string{"j0.", "j3."}, maxFurtherStarts: tt.maxFurtherStarts}
				example := schedules.Example(seed)
				for i := range example.Disturbances {
					if len(tt.kinds) > 0 {
						example.Disturbances[i].Kind = tt.kinds[i%len(tt.kinds)]
					}
				}
				if violations := sim.runSchedule(example); len(violations) > 0 {
					t.Fatalf("go test ./internal/entry/caller -run TestDeadlySchedules -schedules 1 -first %d: %q", seed, violations)
				}
			}
		})
	}
}

// Tasks that run on endpoints that crash for other reasons must not be given up:
// their jobs complete although a third of the endpoints crash, twice.
func TestTasksSurviveOrdinaryCrashes(t *testing.T) {
	for seed := 1; seed <= 100; seed++ {
		sim := newRepeatableSimulation(seed, false)
		for _, at := range []time.Duration{time.Second, 1800 * ms} {
			sim.after(at, func() {
				for _, a := range sim.agents {
					if sim.rng.IntN(3) == 0 {
						sim.crashEndpoint(a, "")
					}
				}
			})
		}
		example := schedules.Example(seed)
		example.Disturbances = nil
		if violations := sim.runSchedule(example); len(violations) > 0 {
			t.Fatalf("seed %d: %q", seed, violations)
		}
		for _, j := range sim.jobs {
			for _, answer := range j.answers {
				if answer.Reason == reason.EndpointCrashed {
					t.Errorf("seed %d: job %s was given up after ordinary crashes", seed, j.job.ID)
				}
			}
		}
	}
}

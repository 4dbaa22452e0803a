package caller_test

import (
	"fmt"
	"testing"
	"time"

	agententry "github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

const (
	// resubmitDelay is how long after a broken connection a caller resubmits a
	// repeatable job. By then, all runs of the first submission must have
	// ended.
	resubmitDelay = 1300 * ms
	// simEntrySilence is how long after an entry's last message an agent stops
	// that entry's runs, and simLeaseTTL how long after the last renewal an
	// endpoint stops all runs. Together they fit into resubmitDelay.
	simEntrySilence = 429 * ms
	simLeaseTTL     = 624 * ms
	// leaseRenewalInterval is how often a live agent renews the lease of its
	// endpoint.
	leaseRenewalInterval = 50 * ms
)

// simEndpoint is an endpoint whose runs end when its lease lapses.
type simEndpoint struct {
	runs             map[*simRun]bool
	leaseUntil       time.Duration
	orphanRunLimitMs uint32 // ms
}

type simRun struct {
	name     string
	agentInc string // incarnation of the agent that started it
	ref      agententry.TaskRef
}

func (sim *simulation) entrySilence() time.Duration {
	if !sim.leased || sim.noSilenceStop {
		return 0
	}
	return simEntrySilence
}

// startEndpoint attaches a new agent incarnation to its endpoint. The agent
// accepts tasks after it has stopped the runs that the previous incarnation
// left.
func (sim *simulation) startEndpoint(a *simAgent) {
	inc := a.inc
	if a.endpoint.runs == nil {
		a.endpoint.runs = map[*simRun]bool{}
		sim.every(5*ms, func() bool { sim.endLapsedRuns(a); return true })
	}
	a.endpoint.orphanRunLimitMs = uint32(resubmitDelay.Milliseconds())
	sim.after(sim.randomDuration(20*ms, 80*ms), func() {
		if a.inc != inc || !a.alive {
			return
		}
		for r := range a.endpoint.runs {
			sim.endRun(a, r)
		}
		a.ready = true
		sim.deliverToAgent(a, inc, a.endpointReady())
	})
	sim.every(leaseRenewalInterval, func() bool {
		if a.inc == inc && a.alive && !a.paused {
			a.endpoint.leaseUntil = sim.now + simLeaseTTL
		}
		return a.inc == inc && a.alive
	})
}

// startRun starts a run on the endpoint of an agent, and checks that the task has
// no other run there or elsewhere.
func (sim *simulation) startRun(a *simAgent, inc string, act agententry.StartTask) {
	if sim.now-a.startedAt+1 > act.StartDeadline {
		sim.deliverToAgent(a, inc, agententry.TaskEnded{Ref: act.Ref, Reason: reason.ViewUnconfirmed, NotRun: true})
		return
	}
	r := &simRun{name: fmt.Sprintf("%s.%d.%d", act.CallerJobID, act.Step, act.Index), agentInc: inc, ref: act.Ref}
	a.endpoint.runs[r] = true
	a.endpoint.leaseUntil = max(a.endpoint.leaseUntil, sim.now+simLeaseTTL)
	sim.runCounts[r.name]++
	if _, known := sim.firstStarts[act.Ref.Job]; !known {
		sim.firstStarts[act.Ref.Job] = sim.now
	}
	if sim.runCounts[r.name] > 1 {
		sim.reportViolation("task %s has %d concurrent runs, want one", r.name, sim.runCounts[r.name])
	}
	if sim.crashes.isDeadly(r.name) {
		sim.recordDeadlyStart(r.name)
		sim.after(deadlyAfter, func() {
			if a.endpoint.runs[r] {
				sim.crashEndpoint(a, r.name)
			}
		})
		return
	}
	failed := sim.rng.IntN(20) == 0
	took := time.Duration(float64(sim.randomDuration(5*ms, 900*ms)) / a.speed)
	if sim.runTime > 0 {
		took = sim.runTime
	}
	sim.after(took, func() {
		if !sim.endRun(a, r) {
			return
		}
		end := agententry.TaskEnded{Ref: r.ref, Result: act.Payload}
		if failed {
			end.Reason = reason.EndpointFailed
		}
		sim.deliverToAgent(a, inc, end)
	})
}

// endRun ends a run, and reports whether it was still active.
func (sim *simulation) endRun(a *simAgent, r *simRun) bool {
	if !a.endpoint.runs[r] {
		return false
	}
	delete(a.endpoint.runs, r)
	sim.runCounts[r.name]--
	return true
}

func (sim *simulation) cancelRun(a *simAgent, inc string, ref agententry.TaskRef) {
	sim.after(sim.randomDuration(5*ms, 50*ms), func() {
		for r := range a.endpoint.runs {
			if r.ref == ref && r.agentInc == inc && sim.endRun(a, r) {
				sim.deliverToAgent(a, inc, agententry.TaskEnded{Ref: ref, Reason: reason.Cancelled})
			}
		}
	})
}

// endLapsedRuns ends all runs of an endpoint once its lease has lapsed.
func (sim *simulation) endLapsedRuns(a *simAgent) {
	if sim.now <= a.endpoint.leaseUntil {
		return
	}
	for r := range a.endpoint.runs {
		if sim.endRun(a, r) {
			sim.deliverToAgent(a, r.agentInc, agententry.TaskEnded{Ref: r.ref, Reason: reason.LeaseLapsed})
		}
	}
}

// submitRepeatable submits a repeatable job to an entry. When the connection
// breaks, because the entry is killed or the caller disconnects, the caller
// resubmits the job to another entry. The caller disconnects at most
// maxDisconnects times.
func (sim *simulation) submitRepeatable(j *simJob, e *simEntry, maxDisconnects int) {
	for !e.alive {
		e = sim.entries[(e.index+1)%len(sim.entries)]
	}
	inc := e.inc
	job := j.job
	job.CallerJobID = job.ID
	job.ID = fmt.Sprintf("~%s-%d", inc, sim.lastSequenceNumber)
	job.Repeatable = true
	job.MaxAttempts = 3
	job.ReceivedAt = sim.now - e.startedAt
	job.Deadline = job.ReceivedAt + jobDeadline
	if sim.hidesArrival {
		job.ReceivedAt = 0
	}
	ended := false
	ticket := sim.newTicket(e, func(a caller.Answer, _ bool) {
		if ended {
			return
		}
		ended = true
		// An answer "not run" covers this submission and the one it may have joined,
		// not earlier ones.
		for _, id := range []string{job.ID, unreadID(job.ID)} {
			if at, ran := sim.firstStarts[id]; ran && !a.Complete && !a.MayHaveRun {
				sim.reportViolation("job %s: answer %s reports that nothing ran, but a task started at %s", id, a.Reason, at)
			}
		}
		sim.checkAnswer(j, e, a)
	})
	sub := caller.Submit{Ticket: ticket, Job: job}
	if sim.submitsTwice {
		sim.deliverTwice(e, sub)
	} else {
		sim.deliverToEntry(e, inc, sub)
	}
	resubmit := func() {
		ended = true
		sim.after(resubmitDelay, func() { sim.submitRepeatable(j, sim.entries[(e.index+1)%len(sim.entries)], maxDisconnects-1) })
	}
	disconnect := func() {
		if !ended && e.inc == inc {
			sim.reportDisconnect(e, caller.Disconnected{Ticket: ticket})
			resubmit()
		}
	}
	sim.connections = append(sim.connections, &simConnection{entry: e, disconnect: disconnect})
	if maxDisconnects > 0 && sim.rng.IntN(4) == 0 {
		sim.after(sim.randomDuration(10*ms, 1500*ms), disconnect)
	}
	sim.every(5*ms, func() bool {
		if !ended && (e.inc != inc || !e.alive) {
			resubmit()
		}
		return !ended
	})
}

func runRepeatableSchedule(seed int, s schedule, noSilenceStop bool) []string {
	return newRepeatableSimulation(seed, noSilenceStop).runSchedule(s)
}

func newRepeatableSimulation(seed int, noSilenceStop bool) *simulation {
	sim := newSimulation(uint64(seed), simEntries, 0)
	sim.leased, sim.noSilenceStop = true, noSilenceStop
	return sim
}

// runSchedule submits the jobs of a schedule as repeatable ones, injects its
// failures, and returns the violations.
func (sim *simulation) runSchedule(s schedule) []string {
	for i := range simAgents {
		a := &simAgent{index: i, zone: string(rune('a' + i%3)), speed: 0.5 + sim.rng.Float64()*2}
		sim.agents = append(sim.agents, a)
		sim.startAgent(a)
	}
	for _, d := range s.Disturbances {
		sim.after(time.Duration(d.At)*ms, func() { sim.applyDisturbance(d) })
	}
	for i, sub := range s.Jobs {
		j := newSimJob(i, sub.Tasks)
		for n := range j.job.Tasks {
			j.job.Tasks[n].Index = n
		}
		sim.jobs = append(sim.jobs, j)
		sim.after(time.Duration(sub.At[0])*ms, func() { sim.submitRepeatable(j, sim.entries[sub.Entry[0]], 2) })
	}
	sim.run(scheduleEnd)
	sim.checkAllAnswered()
	return sim.violations
}

// TestRepeatableSchedules runs random schedules of failures in which callers
// resubmit repeatable jobs after a broken connection. It checks that no task
// has two concurrent runs, that an answer "not run" is true, and that every
// caller is answered.
func TestRepeatableSchedules(t *testing.T) {
	const batch = 50
	for first := *scheduleFirst; first < *scheduleFirst+*scheduleCount; first += batch {
		t.Run(fmt.Sprintf("from %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < min(first+batch, *scheduleFirst+*scheduleCount); seed++ {
				if violations := runRepeatableSchedule(seed, schedules.Example(seed), false); len(violations) > 0 {
					t.Errorf("go test ./internal/entry/caller -run TestRepeatableSchedules$ -schedules 1 -first %d: %+v\n%q", seed, schedules.Example(seed), violations)
					return
				}
			}
		})
	}
}

// TestRepeatableSchedulesFindMissingStop verifies that the checks of
// TestRepeatableSchedules detect a fault: if agents don't stop the runs of
// silent entries, a task has two concurrent runs.
func TestRepeatableSchedulesFindMissingStop(t *testing.T) {
	t.Parallel()
	for seed := 1; seed <= 500; seed++ {
		if len(runRepeatableSchedule(seed, schedules.Example(seed), true)) > 0 {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Error("none of the 500 schedules detects that agents don't stop the runs of silent entries")
}

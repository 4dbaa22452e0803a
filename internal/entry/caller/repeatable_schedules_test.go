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
	// resubmit is how soon after a broken connection a caller submits a
	// repeatable job again.
	resubmit = 1300 * ms
	// simSilence and simLease are the agents' parts of that time.
	simSilence = 429 * ms
	simLease   = 624 * ms
	// renewal is how often a live agent renews the lease.
	renewal = 50 * ms
)

// simEndpoint is an endpoint whose runs end with its lease.
type simEndpoint struct {
	runs     map[*simRun]bool
	until    time.Duration
	runsOver uint32 // ms
}

type simRun struct {
	name string
	inc  string // of the agent that began it
	ref  agententry.Ref
}

func (w *world) silence() time.Duration {
	if !w.leased || w.keepAll {
		return 0
	}
	return simSilence
}

// bootEndpoint lets a new agent stop what the one before left, and then take
// tasks.
func (w *world) bootEndpoint(a *simAgent) {
	inc := a.inc
	if a.endpoint.runs == nil {
		a.endpoint.runs = map[*simRun]bool{}
		w.every(5*ms, func() bool { w.lapse(a); return true })
	}
	a.endpoint.runsOver = uint32(resubmit.Milliseconds())
	w.at(w.between(20*ms, 80*ms), func() {
		if a.inc != inc || !a.alive {
			return
		}
		for r := range a.endpoint.runs {
			w.endRun(a, r)
		}
		a.ready = true
		w.toAgent(a, inc, agententry.EndpointChanged{Endpoint: agententry.Endpoint{Slots: 2, Open: true}})
	})
	w.every(renewal, func() bool {
		if a.inc == inc && a.alive && !a.paused {
			a.endpoint.until = w.now + simLease
		}
		return a.inc == inc && a.alive
	})
}

func (w *world) beginRun(a *simAgent, inc string, act agententry.Run) {
	if w.now-a.born+1 > act.Until {
		w.toAgent(a, inc, agententry.TaskEnded{Ref: act.Ref, Reason: reason.ViewUnconfirmed, NotRun: true})
		return
	}
	r := &simRun{name: fmt.Sprintf("%s.%d.%d", act.Name, act.Step, act.Index), inc: inc, ref: act.Ref}
	a.endpoint.runs[r] = true
	a.endpoint.until = max(a.endpoint.until, w.now+simLease)
	w.running[r.name]++
	if _, known := w.began[act.Ref.Job]; !known {
		w.began[act.Ref.Job] = w.now
	}
	if w.running[r.name] > 1 {
		w.fault("task %s has %d runs at once", r.name, w.running[r.name])
	}
	failed := w.rng.IntN(20) == 0
	w.at(time.Duration(float64(w.between(5*ms, 900*ms))/a.speed), func() {
		if !w.endRun(a, r) {
			return
		}
		end := agententry.TaskEnded{Ref: r.ref, Result: act.Payload}
		if failed {
			end.Reason = reason.EndpointFailed
		}
		w.toAgent(a, inc, end)
	})
}

// endRun ends a run if it is there.
func (w *world) endRun(a *simAgent, r *simRun) bool {
	if !a.endpoint.runs[r] {
		return false
	}
	delete(a.endpoint.runs, r)
	w.running[r.name]--
	return true
}

func (w *world) stopRun(a *simAgent, inc string, ref agententry.Ref) {
	w.at(w.between(5*ms, 50*ms), func() {
		for r := range a.endpoint.runs {
			if r.ref == ref && r.inc == inc && w.endRun(a, r) {
				w.toAgent(a, inc, agententry.TaskEnded{Ref: ref, Reason: reason.Cancelled})
			}
		}
	})
}

func (w *world) lapse(a *simAgent) {
	if w.now <= a.endpoint.until {
		return
	}
	for r := range a.endpoint.runs {
		if w.endRun(a, r) {
			w.toAgent(a, r.inc, agententry.TaskEnded{Ref: r.ref, Reason: reason.LeaseLapsed})
		}
	}
}

// submitRepeatable hands a repeatable job to an entry. When the connection
// breaks, because the entry dies or the caller leaves, the caller submits the
// job again elsewhere.
func (w *world) submitRepeatable(j *simJob, e *simEntry, tries int) {
	for !e.alive {
		e = w.entries[(e.index+1)%len(w.entries)]
	}
	inc := e.inc
	job := j.job
	job.Name = job.ID
	job.ID = fmt.Sprintf("~%s-%d", inc, w.order)
	job.Repeatable = true
	job.Attempts = 3
	job.Deadline = w.now - e.born + jobDeadline
	ended := false
	ticket := w.ticket(e, func(a caller.Answer, _ bool) {
		if ended {
			return
		}
		ended = true
		// A refusal speaks of this submission.
		if at, ran := w.began[job.ID]; ran && !a.Complete && !a.MayHaveRun {
			w.fault("job %s: %s says not run, but a task started at %s", job.ID, a.Reason, at)
		}
		w.answered(j, e, a)
	})
	w.toEntry(e, inc, caller.Submit{Ticket: ticket, Job: job})
	again := func() {
		ended = true
		w.at(resubmit, func() { w.submitRepeatable(j, w.entries[(e.index+1)%len(w.entries)], tries-1) })
	}
	if tries > 0 && w.rng.IntN(4) == 0 {
		w.at(w.between(10*ms, 1500*ms), func() {
			if !ended && e.inc == inc {
				w.toEntry(e, inc, caller.Leave{Ticket: ticket, Key: job.Key})
				again()
			}
		})
	}
	w.every(5*ms, func() bool {
		if !ended && (e.inc != inc || !e.alive) {
			again()
		}
		return !ended
	})
}

func playRepeatable(seed int, s schedule, keepAll bool) []string {
	w := newWorld(uint64(seed), simEntries, 0)
	w.leased, w.keepAll = true, keepAll
	for i := range simAgents {
		a := &simAgent{index: i, zone: string(rune('a' + i%3)), speed: 0.5 + w.rng.Float64()*2}
		w.agents = append(w.agents, a)
		w.bootAgent(a)
	}
	for _, d := range s.Disturbances {
		w.at(time.Duration(d.At)*ms, func() { w.disturb(d) })
	}
	for i, sub := range s.Jobs {
		j := newSimJob(i, sub.Tasks)
		for n := range j.job.Tasks {
			j.job.Tasks[n].Index = n
		}
		w.jobs = append(w.jobs, j)
		w.at(time.Duration(sub.At[0])*ms, func() { w.submitRepeatable(j, w.entries[sub.Entry[0]], 2) })
	}
	w.run(scheduleEnd)
	w.checkAnswered()
	return w.faults
}

// TestRepeatableSchedules runs random schedules of failures, with callers that
// submit their repeatable jobs again after a break: no task has two runs at
// once, "not run" is true, and every caller gets its answer.
func TestRepeatableSchedules(t *testing.T) {
	const batch = 50
	for first := *scheduleFirst; first < *scheduleFirst+*scheduleCount; first += batch {
		t.Run(fmt.Sprintf("from %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < min(first+batch, *scheduleFirst+*scheduleCount); seed++ {
				if faults := playRepeatable(seed, schedules.Example(seed), false); len(faults) > 0 {
					t.Errorf("go test ./internal/entry/caller -run TestRepeatableSchedules$ -schedules 1 -first %d: %+v\n%q", seed, schedules.Example(seed), faults)
					return
				}
			}
		})
	}
}

// TestRepeatableSchedulesFindMissingStop checks the check: when agents don't
// stop the runs of silent entries, a task has two runs at once.
func TestRepeatableSchedulesFindMissingStop(t *testing.T) {
	t.Parallel()
	for seed := 1; seed <= 500; seed++ {
		if len(playRepeatable(seed, schedules.Example(seed), true)) > 0 {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Error("no schedule of the 500 finds that the stop is missing")
}

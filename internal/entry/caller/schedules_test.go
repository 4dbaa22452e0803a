package caller_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

var (
	scheduleCount = flag.Int("schedules", 2000, "how many schedules TestSchedules runs")
	scheduleFirst = flag.Int("first", 1, "the seed of the first schedule")
)

const (
	simEntries = 3
	simAgents  = 4
	// disturbancesEnd is when the last disturbance ends. By scheduleEnd, every
	// caller must have been answered.
	disturbancesEnd = 8 * time.Second
	jobDeadline     = 9 * time.Second
	scheduleEnd     = 22 * time.Second
)

// disturbance is one injected failure of a schedule.
type disturbance struct {
	Kind   int
	Target int
	At     int // ms
	For    int // ms
}

// The kinds of disturbance.
const (
	killEntry = iota
	killAgent
	pauseEntry
	pauseAgent
	cutLinks // a link drops all messages without closing
	tableDown
	loseWriteResponse // the response to one claim write is lost
	zoneOut
	stallEntry // an entry pauses between a step and its actions
	disturbanceKinds
)

// The kinds of disturbance that the schedules of TestSchedules and
// TestRepeatableSchedules do not draw.
const (
	// resetConns breaks all connections of an entry at once, and its links again
	// while it lasts.
	resetConns = disturbanceKinds + iota
	// freezeEntry pauses an entry, whose callers disconnect meanwhile. The entry
	// learns that late.
	freezeEntry
	// handleLate makes events wait in the queue of an entry's control state, while its
	// links go on.
	handleLate
)

// submission is one job, with the times and entries of its submissions by its
// caller.
type submission struct {
	Tasks int
	At    []int // ms
	Entry []int
}

// schedule is the input of one simulation run. Recorded schedules in testdata
// are encoded by the names of these fields.
type schedule struct {
	Disturbances []disturbance
	Jobs         []submission
}

// drawUniform draws a number below limit with uniform distribution. The range
// generators of rapid favour small numbers, and would rarely produce long
// disturbances.
func drawUniform(t *rapid.T, limit int) int {
	const parts = 1 << 16
	high := rapid.Byte().Draw(t, "high")
	low := rapid.Byte().Draw(t, "low")
	mixed := uint16((uint32(high)<<8 | uint32(low)) * 40503)
	return int(mixed) * limit / parts
}

func submitTimes(t *rapid.T) []int {
	times := make([]int, rapid.IntRange(1, 4).Draw(t, "submissions"))
	for i := range times {
		times[i] = 600 + drawUniform(t, 4900)
	}
	return times
}

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	return schedule{
		Disturbances: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) disturbance {
			return disturbance{
				Kind:   rapid.IntRange(0, disturbanceKinds-1).Draw(t, "kind"),
				Target: rapid.IntRange(0, 11).Draw(t, "target"),
				At:     500 + drawUniform(t, 4500),
				For:    20 + drawUniform(t, 2980),
			}
		}), 1, 6).Draw(t, "disturbances"),
		Jobs: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) submission {
			return submission{
				Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"),
				At:    submitTimes(t),
				Entry: rapid.SliceOfN(rapid.IntRange(0, simEntries-1), 4, 4).Draw(t, "entry"),
			}
		}), 2, 8).Draw(t, "jobs"),
	}
})

// TestSchedules runs random schedules of failures. It checks that no task of a
// claimed job starts twice, that an answer is complete or has a reason, that an
// answer "not run" is true, that no task starts in a zone that is out of
// service, and that every caller is answered.
func TestSchedules(t *testing.T) {
	const batch = 50
	for first := *scheduleFirst; first < *scheduleFirst+*scheduleCount; first += batch {
		t.Run(fmt.Sprintf("from %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < min(first+batch, *scheduleFirst+*scheduleCount); seed++ {
				if violations := runRandomSchedule(seed, false); len(violations) > 0 {
					t.Errorf("go test ./internal/entry/caller -run TestSchedules$ -schedules 1 -first %d: %+v\n%q", seed, schedules.Example(seed), violations)
					return
				}
			}
		})
	}
}

// TestSchedulesFindMissingFence verifies that the checks of TestSchedules
// detect a fault: without fences, an agent accepts a start that was sent under
// an earlier claim.
func TestSchedulesFindMissingFence(t *testing.T) {
	t.Parallel()
	for seed := 1; seed <= 2000; seed++ {
		if len(runRandomSchedule(seed, true)) > 0 {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Error("none of the 2000 schedules detects that agents ignore fences")
}

// recordedSchedule is a schedule that once showed a fault, with a description
// of the fault.
type recordedSchedule struct {
	Seed     int
	Fault    string
	Schedule schedule
}

// TestRecordedSchedules replays the schedules that once showed a fault.
func TestRecordedSchedules(t *testing.T) {
	files, err := filepath.Glob("testdata/schedules/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no recorded schedules: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var r recordedSchedule
			if err := json.Unmarshal(text, &r); err != nil {
				t.Fatal(err)
			}
			if violations := runSchedule(r.Seed, r.Schedule, false); len(violations) > 0 {
				t.Errorf("%s: %q", r.Fault, violations)
			}
		})
	}
}

func runRandomSchedule(seed int, noFence bool) []string {
	return runSchedule(seed, schedules.Example(seed), noFence)
}

func runSchedule(seed int, s schedule, noFence bool) []string {
	sim := newSimulation(uint64(seed), simEntries, simAgents)
	sim.noFence = noFence
	for _, d := range s.Disturbances {
		sim.after(time.Duration(d.At)*ms, func() { sim.applyDisturbance(d) })
	}
	for i, sub := range s.Jobs {
		j := newSimJob(i, sub.Tasks)
		sim.jobs = append(sim.jobs, j)
		for n, at := range sub.At {
			sim.after(time.Duration(at)*ms, func() { sim.submit(j, sim.entries[sub.Entry[n]]) })
		}
	}
	sim.run(scheduleEnd)
	sim.checkAllAnswered()
	return sim.violations
}

func newSimJob(i, tasks int) *simJob {
	id := fmt.Sprintf("j%d", i)
	job := caller.Job{Key: caller.Key{Team: "t", ID: id}, Service: "s", Digest: digest(id)}
	for n := range tasks {
		job.Tasks = append(job.Tasks, caller.Task{Kind: "k", Payload: fmt.Appendf(nil, "%s/%d", id, n)})
	}
	return &simJob{job: job, startedAt: -1}
}

// submit submits a job to an entry, or to the next live one. The caller
// resubmits it if the entry is killed.
func (sim *simulation) submit(j *simJob, e *simEntry) {
	for !e.alive {
		e = sim.entries[(e.index+1)%len(sim.entries)]
	}
	j.openSubmissions++
	inc := e.inc
	job := j.job
	job.Deadline = sim.now - e.startedAt + jobDeadline
	ticket := sim.newTicket(e, func(a caller.Answer, _ bool) {
		j.openSubmissions--
		sim.checkAnswer(j, e, a)
	})
	sim.after(sim.randomDuration(1*ms, 3*ms), func() { sim.deliverToEntry(e, inc, caller.Submit{Ticket: ticket, Job: job}) })
	sim.every(500*ms, func() bool {
		if e.inc == inc && e.alive {
			return true
		}
		if len(j.answers) == 0 {
			j.openSubmissions--
			sim.submit(j, sim.entries[(e.index+1)%len(sim.entries)])
		}
		return false
	})
}

// checkAnswer checks one answer. An answer "not run" is valid as of the time
// when the entry read the claim: a pause of the entry may delay the answer
// while the same job, submitted to another entry, starts.
func (sim *simulation) checkAnswer(j *simJob, e *simEntry, a caller.Answer) {
	j.answers = append(j.answers, a)
	asOf, wasRead := e.claimReadAt[j.job.Key]
	if !wasRead {
		asOf = sim.now
	}
	switch {
	case a.Complete:
		for n, r := range a.Results {
			if !bytes.Equal(r, j.job.Tasks[n].Payload) {
				sim.reportViolation("job %s: result %d is %q, want the payload of the task", j.job.ID, n, r)
			}
		}
		if len(a.Results) != len(j.job.Tasks) {
			sim.reportViolation("job %s: %d results, want one for each task", j.job.ID, len(a.Results))
		}
	case a.Reason == reason.Unspecified:
		sim.reportViolation("job %s failed without a reason", j.job.ID)
	case !a.MayHaveRun && j.startedAt >= 0 && j.startedAt <= asOf:
		sim.reportViolation("job %s: answer %s reports that nothing ran as of %s, but a task started at %s", j.job.ID, a.Reason, asOf, j.startedAt)
	}
}

func (sim *simulation) checkAllAnswered() {
	for _, j := range sim.jobs {
		if len(j.answers) == 0 {
			sim.reportViolation("job %s has no answer", j.job.ID)
		}
	}
}

// applyDisturbance injects one failure, and ends it before disturbancesEnd.
func (sim *simulation) applyDisturbance(d disturbance) {
	length := min(time.Duration(d.For)*ms, disturbancesEnd-sim.now)
	e := sim.entries[d.Target%len(sim.entries)]
	a := sim.agents[d.Target%len(sim.agents)]
	switch d.Kind {
	case killEntry:
		if e.alive && sim.aliveEntries() > 1 {
			sim.killEntry(e)
			sim.after(length, func() { sim.startEntry(e) })
		}
	case killAgent:
		if a.alive {
			sim.killAgent(a)
			sim.after(length, func() { sim.startAgent(a) })
		}
	case pauseEntry:
		sim.pause(&e.proc, sim.pauseLength(length))
	case pauseAgent:
		sim.pause(&a.proc, sim.pauseLength(length))
	case cutLinks:
		if l := e.links[a.inc]; l != nil {
			l.cut = true
		}
	case tableDown:
		sim.tableDown = true
		sim.after(length, func() { sim.tableDown = false })
	case loseWriteResponse:
		sim.responsesToLose++
	case stallEntry:
		if e.alive && !e.paused {
			e.pauseAfterStep = length
		}
	case resetConns:
		sim.resetConnections(e, length/4)
	case freezeEntry:
		sim.freezeEntry(e, sim.pauseLength(length))
	case handleLate:
		sim.handleLate(e, length)
	case zoneOut:
		sim.setZone("a", true)
		sim.after(length+zoneGrace, func() { sim.setZone("a", false) })
	}
}

// pauseLength returns twice the given length, so that a pause can outlast
// zoneGrace when a zone is taken out of service during it.
func (sim *simulation) pauseLength(length time.Duration) time.Duration {
	return min(2*length, disturbancesEnd-sim.now)
}

func (sim *simulation) aliveEntries() int {
	n := 0
	for _, e := range sim.entries {
		if e.alive {
			n++
		}
	}
	return n
}

func (sim *simulation) pause(p *proc, length time.Duration) {
	if !p.alive || p.paused {
		return
	}
	inc := p.inc
	p.paused = true
	sim.after(length, func() {
		if p.inc == inc {
			sim.resume(p)
		}
	})
}

// setZone takes a zone out of service or back into it by an edit of the
// document. The edit fails while the table is down.
func (sim *simulation) setZone(zone string, out bool) {
	if sim.tableDown {
		return
	}
	body := `{"out":[]}`
	if out {
		body = fmt.Sprintf(`{"out":[%q]}`, zone)
	}
	doc, err := sim.doc.WithSection("zones", []byte(body))
	if err != nil {
		sim.reportViolation("edit of the zones section: %v", err)
		return
	}
	sim.doc = doc.WithVersion(sim.doc.Version() + 1)
	delete(sim.zoneOutSince, zone)
	if out {
		sim.zoneOutSince[zone] = sim.now
	}
}

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
	// faultsUntil is when the last fault ends, and scheduleEnd when every
	// caller must have its answer.
	faultsUntil = 8 * time.Second
	jobDeadline = 9 * time.Second
	scheduleEnd = 22 * time.Second
)

// disturbance is one failure that a schedule brings about.
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
	cutLinks
	tableDown
	loseAnswers
	zoneOut
	stallEntry
	kinds
)

// submission is one job, with the times at which its caller submits it.
type submission struct {
	Tasks int
	At    []int // ms
	Entry []int
}

type schedule struct {
	Disturbances []disturbance
	Jobs         []submission
}

// spread draws a number below limit, all alike. Ranges of the library favour
// small numbers, which leaves out what takes long.
func spread(t *rapid.T, limit int) int {
	const parts = 1 << 16
	high := rapid.Byte().Draw(t, "high")
	low := rapid.Byte().Draw(t, "low")
	mixed := uint16((uint32(high)<<8 | uint32(low)) * 40503)
	return int(mixed) * limit / parts
}

func submitTimes(t *rapid.T) []int {
	times := make([]int, rapid.IntRange(1, 4).Draw(t, "submissions"))
	for i := range times {
		times[i] = 600 + spread(t, 4900)
	}
	return times
}

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	return schedule{
		Disturbances: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) disturbance {
			return disturbance{
				Kind:   rapid.IntRange(0, kinds-1).Draw(t, "kind"),
				Target: rapid.IntRange(0, 11).Draw(t, "target"),
				At:     500 + spread(t, 4500),
				For:    20 + spread(t, 2980),
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

// TestSchedules runs random schedules of failures against the reference: no
// task of a job starts twice, an answer is whole or failed, "not run" is true,
// no task starts in a zone that is out, and every caller gets its answer.
func TestSchedules(t *testing.T) {
	const batch = 50
	for first := *scheduleFirst; first < *scheduleFirst+*scheduleCount; first += batch {
		t.Run(fmt.Sprintf("from %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < min(first+batch, *scheduleFirst+*scheduleCount); seed++ {
				if faults := runSchedule(seed, false); len(faults) > 0 {
					t.Errorf("go test ./internal/entry/caller -run TestSchedules$ -schedules 1 -first %d: %+v\n%q", seed, schedules.Example(seed), faults)
					return
				}
			}
		})
	}
}

// TestSchedulesFindMissingFence checks the check: without the fence, a start
// that was sent under an old claim is taken.
func TestSchedulesFindMissingFence(t *testing.T) {
	t.Parallel()
	for seed := 1; seed <= 2000; seed++ {
		if len(runSchedule(seed, true)) > 0 {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Error("no schedule of the 2000 finds that the fence is missing")
}

// recorded is a schedule that once showed a fault, with what it showed.
type recorded struct {
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
			var r recorded
			if err := json.Unmarshal(text, &r); err != nil {
				t.Fatal(err)
			}
			if faults := play(r.Seed, r.Schedule, false); len(faults) > 0 {
				t.Errorf("%s: %q", r.Fault, faults)
			}
		})
	}
}

func runSchedule(seed int, noFence bool) []string {
	return play(seed, schedules.Example(seed), noFence)
}

func play(seed int, s schedule, noFence bool) []string {
	w := newWorld(uint64(seed), simEntries, simAgents)
	w.noFence = noFence
	for _, d := range s.Disturbances {
		w.at(time.Duration(d.At)*ms, func() { w.disturb(d) })
	}
	for i, sub := range s.Jobs {
		j := newSimJob(i, sub.Tasks)
		w.jobs = append(w.jobs, j)
		for n, at := range sub.At {
			w.at(time.Duration(at)*ms, func() { w.submit(j, w.entries[sub.Entry[n]]) })
		}
	}
	w.run(scheduleEnd)
	w.checkAnswered()
	return w.faults
}

func newSimJob(i, tasks int) *simJob {
	id := fmt.Sprintf("j%d", i)
	job := caller.Job{Key: caller.Key{Team: "t", ID: id}, Service: "s", Digest: digest(id)}
	for n := range tasks {
		job.Tasks = append(job.Tasks, caller.Task{Kind: "k", Payload: fmt.Appendf(nil, "%s/%d", id, n)})
	}
	return &simJob{job: job, started: -1}
}

// submit hands a job to an entry, or to the next one that lives. The caller
// submits it again when the entry dies.
func (w *world) submit(j *simJob, e *simEntry) {
	for !e.alive {
		e = w.entries[(e.index+1)%len(w.entries)]
	}
	j.open++
	inc := e.inc
	job := j.job
	job.Deadline = w.now - e.born + jobDeadline
	ticket := w.ticket(e, func(a caller.Answer, _ bool) {
		j.open--
		w.answered(j, e, a)
	})
	w.at(w.between(1*ms, 3*ms), func() { w.toEntry(e, inc, caller.Submit{Ticket: ticket, Job: job}) })
	w.every(500*ms, func() bool {
		if e.inc == inc && e.alive {
			return true
		}
		if len(j.answers) == 0 {
			j.open--
			w.submit(j, w.entries[(e.index+1)%len(w.entries)])
		}
		return false
	})
}

// answered checks one answer. An answer that says "not run" speaks of the time
// when the entry looked up the claim: a pause may keep it back from its caller
// while the same job, submitted elsewhere, runs.
func (w *world) answered(j *simJob, e *simEntry, a caller.Answer) {
	j.answers = append(j.answers, a)
	asOf, looked := e.looked[j.job.Key]
	if !looked {
		asOf = w.now
	}
	switch {
	case a.Complete:
		for n, r := range a.Results {
			if !bytes.Equal(r, j.job.Tasks[n].Payload) {
				w.fault("job %s: result %d is %q", j.job.ID, n, r)
			}
		}
		if len(a.Results) != len(j.job.Tasks) {
			w.fault("job %s: %d results", j.job.ID, len(a.Results))
		}
	case a.Reason == reason.Unspecified:
		w.fault("job %s failed without a reason", j.job.ID)
	case !a.MayHaveRun && j.started >= 0 && j.started <= asOf:
		w.fault("job %s: %s says not run as of %s, but a task started at %s", j.job.ID, a.Reason, asOf, j.started)
	}
}

func (w *world) checkAnswered() {
	for _, j := range w.jobs {
		if len(j.answers) == 0 {
			w.fault("job %s has no answer", j.job.ID)
		}
	}
}

// disturb brings about one failure, and ends it in time.
func (w *world) disturb(d disturbance) {
	length := min(time.Duration(d.For)*ms, faultsUntil-w.now)
	e := w.entries[d.Target%len(w.entries)]
	a := w.agents[d.Target%len(w.agents)]
	switch d.Kind {
	case killEntry:
		if e.alive && w.living() > 1 {
			w.killEntry(e)
			w.at(length, func() { w.bootEntry(e) })
		}
	case killAgent:
		if a.alive {
			w.killAgent(a)
			w.at(length, func() { w.bootAgent(a) })
		}
	case pauseEntry:
		w.pause(&e.proc, w.longer(length))
	case pauseAgent:
		w.pause(&a.proc, w.longer(length))
	case cutLinks:
		if l := e.links[a.inc]; l != nil {
			l.cut = true
		}
	case tableDown:
		w.down = true
		w.at(length, func() { w.down = false })
	case loseAnswers:
		w.lose++
	case stallEntry:
		if e.alive && !e.paused {
			e.stall = length
		}
	case zoneOut:
		w.setZone("a", true)
		w.at(length+zoneGrace, func() { w.setZone("a", false) })
	}
}

// longer returns twice a length, so that a pause can outlast the grace of a
// zone that is taken out while it lasts.
func (w *world) longer(length time.Duration) time.Duration {
	return min(2*length, faultsUntil-w.now)
}

func (w *world) living() int {
	n := 0
	for _, e := range w.entries {
		if e.alive {
			n++
		}
	}
	return n
}

func (w *world) pause(p *proc, length time.Duration) {
	if !p.alive || p.paused {
		return
	}
	inc := p.inc
	p.paused = true
	w.at(length, func() {
		if p.inc == inc {
			w.resume(p)
		}
	})
}

// setZone edits the document, if the table takes the edit.
func (w *world) setZone(zone string, out bool) {
	if w.down {
		return
	}
	body := `{"out":[]}`
	if out {
		body = fmt.Sprintf(`{"out":[%q]}`, zone)
	}
	doc, err := w.doc.WithSection("zones", []byte(body))
	if err != nil {
		w.fault("zones: %v", err)
		return
	}
	w.doc = doc.WithVersion(w.doc.Version() + 1)
	delete(w.outSince, zone)
	if out {
		w.outSince[zone] = w.now
	}
}

package caller_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	agententry "github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/task/resources"
)

var loadSeeds = flag.Int("loadseeds", 1, "how many seeds TestLoads runs")

const (
	loadEntries = 8
	loadAgents  = 12 // a third with 96 cores and a speed of 1.7, the others with 64 and 0.7
	// loadCores is the processor time that the agents have, in cores of speed 1.
	loadCores = 4*96*1.7 + 8*64*0.7
	loadBegin = 2 * time.Second
	// loadRate is the number of jobs a second that need all of loadCores.
	loadRate = 375
)

// loadKind is a kind of jobs, with means; the largest values are four times them.
type loadKind struct {
	name      string
	part      float64 // of the jobs
	tasks     float64
	run       time.Duration
	cpu       float64 // cores
	priority  int
	tailEvery int // one task in so many takes seven times as long; 0 for none
}

var loadKinds = []loadKind{
	{"small", 206, 8, 60 * ms, 4.8, 0, 0},
	{"short", 600, 2, 200 * ms, 4.8, 1, 0},
	{"long", 37.5, 4, 900 * ms, 4.8, 2, 0},
}

// withTail are loadKinds in which three in a hundred of the short tasks take seven
// times as long.
var withTail = []loadKind{loadKinds[0], {"short", 600, 2, 200 * ms, 4.8, 1, 33}, loadKinds[2]}

// loadJob is a submitted job with the real run times of its tasks at speed 1.
type loadJob struct {
	kind        *loadKind
	runs        []time.Duration
	cpuMilli    int
	submittedAt time.Duration
	due, useful time.Duration // after submittedAt
	work        float64       // core seconds at speed 1
}

// loadResult is what became of the jobs of a kind, or of the largest tenth of all.
type loadResult struct {
	offered, onTime, late, useless, refused, shed int
	work                                          float64 // of the jobs that were of use
}

// load submits jobs with due times to a simulation and records what became of them.
type load struct {
	*simulation
	demand  *rand.Rand // apart from that of the simulation, so that versions get equal jobs
	jobs    map[string]*loadJob
	results map[string]*loadResult // by kind, and "large"
	// refusedEarly are the jobs that were refused on arrival while fewer than 20
	// tasks were waiting.
	refusedEarly int
}

func newLoad(seed uint64) *load {
	l := &load{simulation: newSimulation(seed, 0, 0), demand: rand.New(rand.NewPCG(seed, 1)), jobs: map[string]*loadJob{}, results: map[string]*loadResult{"large": {}}}
	l.simulation.load = l
	for i := range loadEntries {
		e := &simEntry{index: i, zone: "a"}
		l.entries = append(l.entries, e)
		l.startEntry(e)
	}
	for i := range loadAgents {
		a := &simAgent{index: i, zone: "a", speed: 0.7, capacity: resources.Resources{CPUMilli: 64000, MemoryMB: 1 << 20}}
		if i%3 == 0 {
			a.speed, a.capacity.CPUMilli = 1.7, 96000
		}
		l.agents = append(l.agents, a)
		l.startAgent(a)
		a.state = agententry.New(agententry.Options{
			Incarnation: a.inc, QueuePerSlot: 0.1, Ledger: agententry.LedgerOptions{Jobs: 10000, ResultBytes: 1 << 20, Retention: time.Minute},
		})
		l.deliverToAgent(a, a.inc, agententry.EndpointChanged{Endpoint: agententry.Endpoint{Slots: 10, AcceptsTasks: true, Capacity: a.capacity}})
	}
	return l
}

// draw returns a random value with the given mean, at most four times it.
func (l *load) draw(mean float64) float64 { return min(4*mean, 1.02*mean*l.demand.ExpFloat64()) }

// submitJob submits a job of a random kind to an entry.
func (l *load) submitJob(e *simEntry, kinds []loadKind) {
	total := 0.0
	for i := range kinds {
		total += kinds[i].part
	}
	pick, k := l.demand.Float64()*total, 0
	for pick > kinds[k].part && k < len(kinds)-1 {
		pick -= kinds[k].part
		k++
	}
	kind := &kinds[k]
	cpu := 0.5*kind.cpu + l.demand.Float64()*kind.cpu
	declared := max(5*ms, time.Duration(l.draw(float64(kind.run))))
	j := &loadJob{kind: kind, cpuMilli: int(1000 * cpu), submittedAt: l.now, due: 60*ms + time.Duration(1.6*float64(declared))}
	j.useful = 3 * j.due
	id := fmt.Sprintf("~%d", len(l.jobs))
	job := caller.Job{
		Key: caller.Key{Team: kind.name, ID: id}, CallerJobID: id, Service: "s", Digest: digest(id), Repeatable: true, MaxAttempts: 3,
		Priority: kind.priority, Due: l.now - e.startedAt + j.due, Deadline: l.now - e.startedAt + j.useful + 200*ms,
	}
	for i := range max(1, int(math.Round(l.draw(kind.tasks)))) {
		run := time.Duration(float64(declared) * (0.6 + 0.8*l.demand.Float64()))
		if kind.tailEvery > 0 && l.demand.IntN(kind.tailEvery) == 0 {
			run *= 7
		}
		j.runs = append(j.runs, run)
		j.work += run.Seconds() * cpu
		job.Tasks = append(job.Tasks, caller.Task{Kind: kind.name, Index: i, Declared: declared, Need: resources.Resources{CPUMilli: j.cpuMilli}})
	}
	l.jobs[id] = j
	ticket := l.newTicket(e, func(a caller.Answer, _ bool) { l.recordAnswer(j, a) })
	l.deliverToEntry(e, e.inc, caller.Submit{Ticket: ticket, Job: job})
}

func (l *load) startRun(a *simAgent, inc string, act agententry.StartTask) {
	took := time.Duration(float64(l.jobs[act.Ref.Job].runs[act.Ref.Task]) / a.speed)
	l.after(took, func() { l.deliverToAgent(a, inc, agententry.TaskEnded{Ref: act.Ref, Took: took}) })
}

// recordAnswer counts the answer to a job.
func (l *load) recordAnswer(j *loadJob, a caller.Answer) {
	names := []string{j.kind.name}
	if len(j.runs) >= 2*int(j.kind.tasks) {
		names = append(names, "large")
	}
	took := l.now - j.submittedAt
	for _, name := range names {
		if l.results[name] == nil {
			l.results[name] = &loadResult{}
		}
		r := l.results[name]
		r.offered++
		switch {
		case a.Complete && took <= j.useful:
			r.work += j.work
			if took <= j.due {
				r.onTime++
			} else {
				r.late++
			}
		case a.Refused && took == 0:
			r.refused++
		case a.Refused:
			r.shed++
		default:
			r.useless++
		}
	}
}

func (l *load) recordCount(c caller.RecordCount) {
	if c.Count == caller.Refusal && c.Reason == reason.Overloaded && c.Job.Age == 0 && c.Job.QueuedTasks < 20 {
		l.refusedEarly++
	}
}

// run submits jobs until the given time after loadBegin. Rate returns the number of
// cores that the jobs need at a time, as a part of loadCores.
func (l *load) run(length time.Duration, kinds []loadKind, rate func(at time.Duration) float64, entry func() *simEntry) {
	var next func()
	next = func() {
		if l.now > loadBegin+length {
			return
		}
		l.submitJob(entry(), kinds)
		l.after(time.Duration(l.demand.ExpFloat64()/(loadRate*rate(l.now-loadBegin))*float64(time.Second)), next)
	}
	l.after(loadBegin, next)
	l.simulation.run(loadBegin + length + 20*time.Second)
}

func (l *load) anyEntry() *simEntry { return l.entries[l.demand.IntN(loadEntries)] }

// oneBusyEntry sends two fifths of the jobs to one entry.
func (l *load) oneBusyEntry() *simEntry {
	if l.demand.IntN(5) < 2 {
		return l.entries[0]
	}
	return l.anyEntry()
}

func (l *load) total() (sum loadResult) {
	for name, r := range l.results {
		if name != "large" {
			sum.offered += r.offered
			sum.onTime += r.onTime
			sum.late += r.late
			sum.useless += r.useless
			sum.refused += r.refused
			sum.shed += r.shed
			sum.work += r.work
		}
	}
	return sum
}

func (l *load) String() string {
	var b strings.Builder
	for _, name := range []string{"small", "short", "long", "large"} {
		if r := l.results[name]; r != nil {
			fmt.Fprintf(&b, "\n%6s %5d: on time %4.1f%% late %4.1f%% useless %4.1f%% refused %4.1f%% shed %4.1f%%", name, r.offered,
				pct(r.onTime, r), pct(r.late, r), pct(r.useless, r), pct(r.refused, r), pct(r.shed, r))
		}
	}
	t := l.total()
	fmt.Fprintf(&b, "\ntotal on time %.1f%% late %.1f%% work %.0f core s, refused early %d", pct(t.onTime, &t), pct(t.late+t.useless, &t), t.work, l.refusedEarly)
	return b.String()
}

func pct(n int, r *loadResult) float64 { return 100 * float64(n) / float64(max(1, r.offered)) }

func constant(part float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return part }
}

// swing changes the demand by half in 17 s.
func swing(at time.Duration) float64 {
	return 0.9 + 0.45*math.Sin(2*math.Pi*at.Seconds()/34)
}

// TestLoads
func TestLoads(t *testing.T) {
	for _, tt := range []struct {
		name string
		run  func(l *load)
	}{
		{"calm", func(l *load) { l.run(15*time.Second, loadKinds, constant(0.6), l.anyEntry) }},
		{"nearly full", func(l *load) { l.run(15*time.Second, loadKinds, constant(0.9), l.anyEntry) }},
		{"uneven callers", func(l *load) { l.run(15*time.Second, loadKinds, constant(0.85), l.oneBusyEntry) }},
		{"a kind with a tail", func(l *load) { l.run(15*time.Second, withTail, constant(0.85), l.anyEntry) }},
		{"swing", func(l *load) { l.run(34*time.Second, loadKinds, swing, l.anyEntry) }},
		{"overload", func(l *load) { l.run(20*time.Second, loadKinds, constant(1.5), l.anyEntry) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *loadSeeds {
				l := newLoad(uint64(seed + 1))
				tt.run(l)
				t.Log(l)
			}
		})
	}
}

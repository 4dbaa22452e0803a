package main_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
)

// The soak runs the real programs as processes, injects random faults from
// outside them, and checks the promises from what callers, operators and
// endpoints see. Run fifty fresh seeds by
//
//	go test ./cmd/savorystair -run TestSoak$ -soak.seeds 50 -soak.first 1000 -soak.for 10s
var (
	soakSeeds = flag.Int("soak.seeds", 2, "how many seeds the soak plays")
	soakFirst = flag.Uint64("soak.first", 1, "the first of them")
	soakFor   = flag.Duration("soak.for", 5*time.Second, "how long faults go on in each")
	soakSize  = flag.Int("soak.size", 1, "how many times three entries and four agents")
)

// soakRegressions are the seeds that ever failed.
var soakRegressions = []struct {
	seed  uint64
	cause string
}{}

const (
	// soakCallers is how many callers work at a time for three entries.
	soakCallers = 9
	// soakTry is how long a caller waits at one entry before it submits again at
	// another.
	soakTry = 3 * time.Second
	// soakDeadline is the deadline of the callers' work, as of the first try.
	soakDeadline = 12 * time.Second
	// soakCalm is how soon after the last fault every entry is to serve again: a
	// process that was stopped last is back within 3 s, and a view or a claim
	// that waited for it goes on within 17 s, when its row has lapsed.
	soakCalm = 25 * time.Second
)

// soak is one run of the system under the faults of a seed.
type soak struct {
	*system
	seed  uint64
	nodes []*soakNode
	load  *load
	zones soakZones

	stop atomic.Bool
	work sync.WaitGroup

	mu   sync.Mutex
	tale []string // what was done and when
}

// TestSoak plays seeds that differ from run to run only by their number.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playSoak(t, seed) })
	}
}

// TestSoakRegressions plays the seeds that failed before.
func TestSoakRegressions(t *testing.T) {
	for _, r := range soakRegressions {
		t.Run(fmt.Sprintf("seed %d", r.seed), func(t *testing.T) {
			t.Log(r.cause)
			playSoak(t, r.seed)
		})
	}
}

func playSoak(t *testing.T, seed uint64) {
	k := &soak{seed: seed, system: startTable(t, true)}
	k.startNodes(3**soakSize, 4**soakSize)
	k.load = &load{t: t, s: k.system}
	faults := drawFaults(seed, k.nodes, *soakFor)
	for c := range soakCallers * *soakSize {
		k.work.Go(func() { k.call(c) })
	}
	k.work.Go(k.watchVersions)
	k.work.Go(k.watchStarts)
	k.inject(faults)
	k.recover()
	k.stop.Store(true)
	k.work.Wait()
	k.checkOutcomes()
	k.zones.check(k)
	if t.Failed() || testing.Verbose() {
		k.mu.Lock()
		defer k.mu.Unlock()
		t.Logf("go test ./cmd/savorystair -run TestSoak$ -soak.seeds 1 -soak.first %d -soak.for %s", seed, *soakFor)
		for _, line := range k.tale {
			t.Log(line)
		}
	}
}

// startNodes starts the entries, and the agents behind relays.
func (k *soak) startNodes(entries, agents int) {
	for i := range entries {
		e := k.startEntry(fmt.Sprintf("entry-%d", i), zoneName(i))
		k.nodes = append(k.nodes, &soakNode{soak: k, entry: e, program: e.program, id: e.id, zone: zoneName(i)})
	}
	for i := range agents {
		o := endpoint.Options{Service: "survey", Slots: 4, Connections: 32, Speed: 0.5 + float64(i%3)}
		r := newRelay(k.t)
		a := k.startAgentBehind(fmt.Sprintf("agent-%d", i), zoneName(i), o, r)
		k.nodes = append(k.nodes, &soakNode{soak: k, agent: a, program: a.program, id: a.id, zone: a.zone, relay: r})
	}
	k.ready()
}

func (k *soak) note(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tale = append(k.tale, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// call submits work of three kinds, one after another. Connections stay in use
// until they break.
func (k *soak) call(c int) {
	rng := rand.New(rand.NewPCG(k.seed, uint64(c)+1))
	for i := 0; !k.stop.Load(); i++ {
		id := fmt.Sprintf("c%d-%d", c, i)
		job := newJob(fmt.Sprintf("team-%d", c%3), id, 1+rng.IntN(10), "work", "20ms", soakDeadline)
		kind := rng.IntN(3)
		if kind > 0 {
			job.Tasks = job.Tasks[:1]
		}
		o := k.submit(job, kind, rng.IntN(len(k.entries)))
		if kind == requestKind {
			// It has an id of the entry's making, and may run more than once.
			if o.answer != nil && o.answer.Status == callerapi.AnswerStatusComplete {
				checkAnswer(k.t, job, o.answer)
			}
			continue
		}
		k.load.add(o)
	}
}

// The kinds of work.
const (
	jobKind = iota
	requestKind
	unrepeatableKind
)

// submit hands in work until it has an answer or a refusal that is final, at
// another entry after each try that broke off or took too long.
func (k *soak) submit(job *callerapi.Job, kind, first int) loadOutcome {
	o := loadOutcome{job: job}
	for o.tries = 1; time.Now().Before(job.Deadline.Add(soakTry)); o.tries++ {
		e := k.entries[(first+o.tries)%len(k.entries)]
		ctx, cancel := context.WithTimeout(context.Background(), soakTry)
		answer, err := submitKind(ctx, e.callers, job, kind)
		cancel()
		o.at = time.Now()
		var refusal *callerapi.RefusalStatusCode
		switch {
		case err == nil:
			o.answer = answer
			return o
		case errors.As(err, &refusal):
			o.refusal = &refusal.Response
			// A refusal speaks of all tries only if it says that nothing ran.
			if refusal.Response.NotRun {
				return o
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	return o
}

func submitKind(ctx context.Context, c *callerapi.Client, job *callerapi.Job, kind int) (*callerapi.Answer, error) {
	if kind == jobKind {
		return c.SubmitJob(ctx, job)
	}
	req := &callerapi.SingleRequest{Team: job.Team, Service: job.Service, Deadline: job.Deadline, Task: job.Tasks[0]}
	if kind == unrepeatableKind {
		req.RequestID = callerapi.NewOptName(job.JobID)
		req.Unrepeatable = callerapi.NewOptBool(true)
	}
	return c.SubmitRequest(ctx, req)
}

// checkOutcomes checks every answer, and notes how many there were of each kind.
func (k *soak) checkOutcomes() {
	k.checkTwice()
	counts := k.startCounts()
	kinds := map[string]int{}
	for _, o := range k.load.outcomes {
		k.load.check(o, counts)
		switch {
		case o.refusal != nil:
			kinds["refused "+o.refusal.Reason]++
		case o.answer == nil:
			kinds["unanswered"]++
		default:
			kinds[string(o.answer.Status)+" "+o.answer.Reason.Value]++
		}
	}
	k.note("jobs and unrepeatable requests: %v", kinds)
}

// checkTwice reports tasks that were started twice. A repeatable request may be:
// its entry retries it when an agent is lost. It has an id of the entry's making.
func (k *soak) checkTwice() {
	for task, n := range k.startCounts() {
		_, id, _ := strings.Cut(task, "/")
		if n > 1 && !strings.HasPrefix(id, "~") {
			k.t.Errorf("task %s was started %d times", task, n)
		}
	}
}

// watchStarts looks while the faults go on whether a task was started twice.
func (k *soak) watchStarts() {
	for !k.stop.Load() {
		k.checkTwice()
		time.Sleep(time.Second)
	}
}

// watchVersions checks that the configuration in force at an entry never goes
// back within one life of its process.
func (k *soak) watchVersions() {
	type life struct {
		node *soakNode
		life int
	}
	highest := map[life]int64{}
	for !k.stop.Load() {
		for _, n := range k.nodes {
			if n.entry == nil {
				continue
			}
			at := life{n, n.lives()}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			doc, err := n.entry.operator.GetConfig(ctx)
			cancel()
			if err != nil || n.lives() != at.life {
				continue
			}
			if doc.Version < highest[at] {
				k.t.Errorf("%s went from version %d back to %d", n.id, highest[at], doc.Version)
			}
			highest[at] = max(highest[at], doc.Version)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// recover waits until every entry completes a job after the last fault.
func (k *soak) recover() {
	calm := time.Now()
	for i, e := range k.entries {
		for n := 0; ; n++ {
			job := newJob("after", fmt.Sprintf("after-%d-%d", i, n), 6, "work", "20ms", 4*time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			answer, err := e.callers.SubmitJob(ctx, job)
			cancel()
			if err == nil && answer.Status == callerapi.AnswerStatusComplete {
				checkAnswer(k.t, job, answer)
				break
			}
			if time.Since(calm) > soakCalm {
				k.t.Errorf("%s does not serve %s after the last fault: %v, %v", e.id, soakCalm, answer, err)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	k.note("every entry serves %s after the last fault", time.Since(calm).Round(time.Millisecond))
}

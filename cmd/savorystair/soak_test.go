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

// The soak test runs entries, agents and the table service as processes and
// injects random faults from outside. It checks the guarantees of the system by
// the answers to callers and operators and by the starts that endpoints record.
// To run fifty other seeds:
//
//	go test ./cmd/savorystair -run TestSoak$ -soak.seeds 50 -soak.first 1000 -soak.for 10s
var (
	soakSeedCount   = flag.Int("soak.seeds", 2, "number of seeds to run")
	soakFirstSeed   = flag.Uint64("soak.first", 1, "first seed")
	soakFaultPeriod = flag.Duration("soak.for", 5*time.Second, "duration of fault injection per seed")
	soakScale       = flag.Int("soak.size", 1, "size of the system, as a multiple of three entries and four agents")
)

// soakRegressions lists seeds that failed before, each with the cause.
var soakRegressions = []struct {
	seed  uint64
	cause string
}{}

const (
	// soakCallerCount is the number of concurrent callers for each three
	// entries.
	soakCallerCount = 9
	// soakAttemptTimeout is how long a caller waits for an answer from one
	// entry before it submits the job to another.
	soakAttemptTimeout = 3 * time.Second
	// soakJobTimeout is the time from the first submission of a job to its
	// deadline.
	soakJobTimeout = 12 * time.Second
	// soakRecoveryTimeout bounds the time from the last fault until every entry
	// completes a job. A process that the last fault stopped runs again within
	// 3 s, and a view or a claim that waits for the process proceeds within 17 s,
	// once its table row has expired.
	soakRecoveryTimeout = 25 * time.Second
)

// soakRun is one run of the system with the faults of a seed.
type soakRun struct {
	*system
	seed    uint64
	nodes   []*soakNode
	load    *jobLoad
	outages zoneOutages

	stopped atomic.Bool
	wg      sync.WaitGroup

	mu       sync.Mutex
	eventLog []string // injected faults and their effects, with the time of each
}

// TestSoak runs the seeds selected by the flags. The seed determines which
// faults are injected and what callers submit.
func TestSoak(t *testing.T) {
	for i := range *soakSeedCount {
		seed := *soakFirstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// TestSoakRegressions runs the seeds that failed before.
func TestSoakRegressions(t *testing.T) {
	for _, r := range soakRegressions {
		t.Run(fmt.Sprintf("seed %d", r.seed), func(t *testing.T) {
			t.Log(r.cause)
			runSoak(t, r.seed)
		})
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soakRun{seed: seed, system: startTable(t, true)}
	s.startNodes(3**soakScale, 4**soakScale)
	s.load = &jobLoad{t: t, s: s.system}
	faults := drawFaults(seed, s.nodes, *soakFaultPeriod)
	for i := range soakCallerCount * *soakScale {
		s.wg.Go(func() { s.runCaller(i) })
	}
	s.wg.Go(s.watchConfigVersions)
	s.wg.Go(s.watchStarts)
	s.inject(faults)
	s.checkRecovery()
	s.stopped.Store(true)
	s.wg.Wait()
	s.checkOutcomes()
	s.outages.checkStarts(s)
	if t.Failed() || testing.Verbose() {
		s.mu.Lock()
		defer s.mu.Unlock()
		t.Logf("go test ./cmd/savorystair -run TestSoak$ -soak.seeds 1 -soak.first %d -soak.for %s", seed, *soakFaultPeriod)
		for _, line := range s.eventLog {
			t.Log(line)
		}
	}
}

// startNodes starts the entries and the agents. Entries connect to each agent
// through a relay of its own.
func (s *soakRun) startNodes(entries, agents int) {
	for i := range entries {
		e := s.startEntry(fmt.Sprintf("entry-%d", i), zoneName(i))
		s.nodes = append(s.nodes, &soakNode{soak: s, entry: e, process: e.childProcess, id: e.id, zone: zoneName(i)})
	}
	for i := range agents {
		options := endpoint.Options{Service: "survey", Slots: 4, Connections: 32, Speed: 0.5 + float64(i%3)}
		r := newRelay(s.t)
		a := s.startAgentBehindRelay(fmt.Sprintf("agent-%d", i), zoneName(i), options, r)
		s.nodes = append(s.nodes, &soakNode{soak: s, agent: a, process: a.childProcess, id: a.id, zone: a.zone, relay: r})
	}
	s.waitReady()
}

// logEvent adds a line to the event log, which is printed if the test fails.
func (s *soakRun) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventLog = append(s.eventLog, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// runCaller submits jobs, repeatable requests and unrepeatable requests one
// after another until the run stops. It uses the same client for all of them,
// so that connections are reused until they break.
func (s *soakRun) runCaller(caller int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(caller)+1))
	for i := 0; !s.stopped.Load(); i++ {
		id := fmt.Sprintf("c%d-%d", caller, i)
		job := newJob(fmt.Sprintf("team-%d", caller%3), id, 1+rng.IntN(10), "work", "20ms", soakJobTimeout)
		kind := rng.IntN(3)
		if kind > 0 {
			job.Tasks = job.Tasks[:1]
		}
		o := s.submitUntilFinal(job, kind, rng.IntN(len(s.entries)))
		if kind == repeatableRequestKind {
			// The entry assigns the id of a repeatable request, and the task
			// may run more than once.
			if o.answer != nil && o.answer.Status == callerapi.AnswerStatusComplete {
				checkAnswer(s.t, job, o.answer)
			}
			continue
		}
		s.load.addOutcome(o)
	}
}

// The kinds of work that callers submit.
const (
	jobKind = iota
	repeatableRequestKind
	unrepeatableRequestKind
)

// submitUntilFinal submits work until an entry answers it, or refuses it and
// states that nothing ran. After any other refusal, a connection error or a
// timeout, it submits to the next entry, until the deadline has passed.
func (s *soakRun) submitUntilFinal(job *callerapi.Job, kind, firstEntry int) jobOutcome {
	o := jobOutcome{job: job}
	for o.attempts = 1; time.Now().Before(job.Deadline.Add(soakAttemptTimeout)); o.attempts++ {
		e := s.entries[(firstEntry+o.attempts)%len(s.entries)]
		ctx, cancel := context.WithTimeout(context.Background(), soakAttemptTimeout)
		answer, err := submitOnce(ctx, e.callerClient, job, kind)
		cancel()
		o.endedAt = time.Now()
		var refusal *callerapi.RefusalStatusCode
		switch {
		case err == nil:
			o.answer = answer
			return o
		case errors.As(err, &refusal):
			o.refusal = &refusal.Response
			// A refusal covers the earlier attempts only if it states that
			// nothing ran.
			if refusal.Response.NotRun {
				return o
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	return o
}

func submitOnce(ctx context.Context, client *callerapi.Client, job *callerapi.Job, kind int) (*callerapi.Answer, error) {
	if kind == jobKind {
		return client.SubmitJob(ctx, job)
	}
	req := &callerapi.SingleRequest{Team: job.Team, Service: job.Service, Deadline: job.Deadline, Task: job.Tasks[0]}
	if kind == unrepeatableRequestKind {
		req.RequestID = callerapi.NewOptName(job.JobID)
		req.Unrepeatable = callerapi.NewOptBool(true)
	}
	return client.SubmitRequest(ctx, req)
}

// checkOutcomes checks the outcome of every job and unrepeatable request, and
// logs how many outcomes there were of each kind.
func (s *soakRun) checkOutcomes() {
	s.checkClaimedStartedOnce()
	counts := s.startCounts()
	outcomeCounts := map[string]int{}
	for _, o := range s.load.outcomes {
		s.load.checkOutcome(o, counts)
		switch {
		case o.refusal != nil:
			outcomeCounts["refused "+o.refusal.Reason]++
		case o.answer == nil:
			outcomeCounts["unanswered"]++
		default:
			outcomeCounts[string(o.answer.Status)+" "+o.answer.Reason.Value]++
		}
	}
	s.logEvent("jobs and unrepeatable requests: %v", outcomeCounts)
}

// checkClaimedStartedOnce reports tasks of jobs and unrepeatable requests that
// were started more than once. Repeatable requests are exempt, because an entry
// retries them when the agent is disconnected. Their ids start with "~".
func (s *soakRun) checkClaimedStartedOnce() {
	for task, n := range s.startCounts() {
		_, id, _ := strings.Cut(task, "/")
		if n > 1 && !strings.HasPrefix(id, "~") {
			s.t.Errorf("task %s was started %d times, want at most once", task, n)
		}
	}
}

// watchStarts calls checkClaimedStartedOnce every second until the run stops.
func (s *soakRun) watchStarts() {
	for !s.stopped.Load() {
		s.checkClaimedStartedOnce()
		time.Sleep(time.Second)
	}
}

// watchConfigVersions checks that the configuration version of an entry never
// decreases while its process runs.
func (s *soakRun) watchConfigVersions() {
	type incarnation struct {
		node   *soakNode
		number int
	}
	highestVersions := map[incarnation]int64{}
	for !s.stopped.Load() {
		for _, n := range s.nodes {
			if n.entry == nil {
				continue
			}
			key := incarnation{n, n.currentIncarnation()}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			doc, err := n.entry.operatorClient.GetConfig(ctx)
			cancel()
			if err != nil || n.currentIncarnation() != key.number {
				continue
			}
			if doc.Version < highestVersions[key] {
				s.t.Errorf("%s: configuration version decreased from %d to %d, want no decrease", n.id, highestVersions[key], doc.Version)
			}
			highestVersions[key] = max(highestVersions[key], doc.Version)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkRecovery checks that every entry completes a job within
// soakRecoveryTimeout of the last fault.
func (s *soakRun) checkRecovery() {
	faultsEnded := time.Now()
	for i, e := range s.entries {
		for attempt := 0; ; attempt++ {
			job := newJob("after", fmt.Sprintf("after-%d-%d", i, attempt), 6, "work", "20ms", 4*time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			answer, err := e.callerClient.SubmitJob(ctx, job)
			cancel()
			if err == nil && answer.Status == callerapi.AnswerStatusComplete {
				checkAnswer(s.t, job, answer)
				break
			}
			if time.Since(faultsEnded) > soakRecoveryTimeout {
				s.t.Errorf("%s completed no job within %s of the last fault: answer %v, error %v", e.id, soakRecoveryTimeout, answer, err)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.logEvent("every entry has completed a job %s after the last fault", time.Since(faultsEnded).Round(time.Millisecond))
}

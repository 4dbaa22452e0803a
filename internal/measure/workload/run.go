package workload

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/gen/operatorapi"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
	"github.com/savorystair/savorystair/internal/standin/local"
)

const (
	// roundTrip is the network time included in the ideal response time.
	roundTrip = time.Millisecond
	// warmUpJobs is how many jobs are run before the measurement, so that the
	// dispatcher has estimates of run times.
	warmUpJobs = 20
	// minFreeCapacity keeps the ideal response time finite when no slot is free.
	minFreeCapacity = 1.0
	service         = "measured"
)

// dispatcher is a system under measurement. It runs jobs on the endpoints of a
// local system.
type dispatcher interface {
	// submit runs a job until the job or ctx ends, and returns the outcome and the
	// reason of a failure or refusal.
	submit(ctx context.Context, job plannedJob, deadline time.Time) (outcome, string)
	// setZone takes a zone out of service, or back in.
	setZone(ctx context.Context, zone string, out bool) error
	// startCounts returns the number of starts sent so far, and the number of those
	// whose task did not complete, by reason.
	startCounts() (sent int64, wasted map[string]int64)
}

// Run measures the naive dispatcher and the system, one after the other, with
// the same jobs.
func Run(ctx context.Context, w Workload) ([]Report, error) {
	var reports []Report
	for _, name := range []string{"naive", "savorystair"} {
		r, err := w.runDispatcher(ctx, name)
		if err != nil {
			return reports, fmt.Errorf("%s with %s: %w", w.Name, name, err)
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func (w Workload) runDispatcher(ctx context.Context, name string) (Report, error) {
	s, err := local.Start(ctx, local.Options{
		Entries: w.Entries,
		Agents:  w.Endpoints,
		Slots:   w.Slots,
		Service: service,
		Speed:   w.speed,
		FailAll: func(agent int) bool { return agent < w.FailingEndpoints },
	}, zap.NewNop())
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	m := &measurement{workload: w, endpoints: s.Endpoints}
	if name == "naive" {
		m.dispatcher = newNaiveDispatcher(w, s.Endpoints)
	} else {
		m.dispatcher, err = newSystemDispatcher(s)
	}
	if err != nil {
		return Report{}, err
	}
	m.warmUp(ctx)
	return m.measure(ctx, name)
}

// measurement runs a workload on one dispatcher and collects the results.
type measurement struct {
	workload   Workload
	endpoints  []*endpoint.Endpoint
	dispatcher dispatcher
	start      time.Time

	mu         sync.Mutex
	results    []result
	zoneOutage zoneOutage
}

// zoneOutage holds the times at which a zone was taken out of service and put back
// in, since the start of the measurement.
type zoneOutage struct {
	start time.Duration
	end   time.Duration
}

// warmUp runs the first jobs of the plan without counting them.
func (m *measurement) warmUp(ctx context.Context) {
	var wg sync.WaitGroup
	jobs := m.workload.planJobs()
	for i := range min(warmUpJobs, len(jobs)) {
		job := jobs[i]
		job.id = "warm-" + job.id
		wg.Go(func() { m.dispatcher.submit(ctx, job, time.Now().Add(m.deadline())) })
	}
	wg.Wait()
}

func (m *measurement) measure(ctx context.Context, name string) (Report, error) {
	sentBefore, wastedBefore := m.dispatcher.startCounts()
	m.start = time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { m.cycleZone(ctx) })
	for _, job := range m.workload.planJobs() {
		time.Sleep(time.Until(m.start.Add(job.submitAt)))
		wg.Go(func() { m.runJob(ctx, job) })
	}
	wg.Wait()
	report := m.workload.summarize(name, m.results, time.Since(m.start))
	sent, wasted := m.dispatcher.startCounts()
	report.Messages = sent - sentBefore
	report.WastedByReason = map[string]int64{}
	for reason, n := range wasted {
		report.WastedByReason[reason] = n - wastedBefore[reason]
		report.Wasted += n - wastedBefore[reason]
	}
	if report.Messages > 0 {
		report.WastedPercent = 100 * float64(report.Wasted) / float64(report.Messages)
	}
	report.Zone = m.zoneReport()
	return report, ctx.Err()
}

func (m *measurement) deadline() time.Duration {
	return time.Duration(m.workload.DeadlineMS) * time.Millisecond
}

// runJob submits one job, cancels it if that is planned, and records the result.
func (m *measurement) runJob(ctx context.Context, job plannedJob) {
	res := result{job: job, idealResponse: m.idealResponse(job)}
	submitted := time.Now()
	jobCtx, cancel := context.WithCancel(ctx)
	if job.cancelAfter > 0 {
		jobCtx, cancel = context.WithTimeout(ctx, job.cancelAfter)
	}
	defer cancel()
	res.outcome, res.reason = m.dispatcher.submit(jobCtx, job, submitted.Add(m.deadline()))
	res.response = time.Since(submitted)
	res.ended = time.Since(m.start)
	if jobCtx.Err() != nil && ctx.Err() == nil {
		res.outcome = cancelled
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.results = append(m.results, res)
}

// idealResponse estimates the shortest response time of a job submitted now: the
// longer of its longest task on the fastest endpoint and its total run time
// spread over the free slots, weighted by speed, plus a round trip.
func (m *measurement) idealResponse(job plannedJob) time.Duration {
	free := 0.0
	for i, e := range m.endpoints {
		if i >= m.workload.FailingEndpoints {
			free += m.workload.speed(i) * float64(max(0, m.workload.Slots-e.Running()))
		}
	}
	longest := time.Duration(float64(job.longestRunTime()) / m.workload.maxSpeed())
	spread := time.Duration(float64(job.totalRunTime()) / max(minFreeCapacity, free))
	return max(longest, spread) + roundTrip
}

// cycleZone takes one zone out of service and puts it back in, once.
func (m *measurement) cycleZone(ctx context.Context) {
	const zone = "zone-b"
	cycle := time.Duration(m.workload.ZoneCycleSeconds) * time.Second
	if cycle == 0 {
		return
	}
	time.Sleep(cycle)
	// An error needs no handling: the report then shows that the zone continued
	// to run tasks.
	_ = m.dispatcher.setZone(ctx, zone, true)
	out := time.Since(m.start)
	time.Sleep(cycle)
	_ = m.dispatcher.setZone(ctx, zone, false)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.zoneOutage = zoneOutage{start: out, end: time.Since(m.start)}
}

// zoneReport computes the work before, during and after the zone's outage from
// the records of the endpoints. It returns nil if there was none.
func (m *measurement) zoneReport() *ZoneReport {
	if m.zoneOutage.end == 0 {
		return nil
	}
	// settleTime is the time after the outage in which the zone returns to full
	// use. The report leaves it out.
	const settleTime = 5 * time.Second
	all := m.workload.capacity()
	remaining := all
	for i := m.workload.FailingEndpoints; i < m.workload.Endpoints; i++ {
		// Package local puts endpoint i into the zone of index i%3; zone-b has
		// index 1.
		if i%3 == 1 {
			remaining -= m.workload.speed(i) * float64(m.workload.Slots)
		}
	}
	end := m.workload.loadDuration()
	return &ZoneReport{
		Before: m.workPercent(0, m.zoneOutage.start, all),
		During: m.workPercent(m.zoneOutage.start, m.zoneOutage.end, remaining),
		After:  m.workPercent(min(m.zoneOutage.end+settleTime, end), end, all),
	}
}

// workPercent returns the work that the endpoints did between two times, for
// tasks that succeeded, in percent of the given capacity.
func (m *measurement) workPercent(from, to time.Duration, capacity float64) float64 {
	work := time.Duration(0)
	for _, e := range m.endpoints {
		work += e.WorkDone(m.start.Add(from), m.start.Add(to))
	}
	if to <= from {
		return 0
	}
	return 100 * work.Seconds() / (to - from).Seconds() / capacity
}

// systemDispatcher is a local system, driven through its caller and operator
// APIs.
type systemDispatcher struct {
	system         *local.System
	callerClients  []*callerapi.Client
	operatorClient *operatorapi.Client

	mu         sync.Mutex
	nextCaller int
}

func newSystemDispatcher(s *local.System) (*systemDispatcher, error) {
	sys := &systemDispatcher{system: s}
	for _, e := range s.Entries {
		c, err := callerapi.NewClient("http://"+e.CallerAddress(), callerapi.WithClient(newHTTPClient()))
		if err != nil {
			return nil, err
		}
		sys.callerClients = append(sys.callerClients, c)
	}
	op, err := operatorapi.NewClient("http://" + s.Entries[0].OperatorAddress())
	sys.operatorClient = op
	return sys, err
}

func (s *systemDispatcher) submit(ctx context.Context, planned plannedJob, deadline time.Time) (outcome, string) {
	job := &callerapi.Job{
		Team:            callerapi.Name(planned.team),
		JobID:           callerapi.Name(planned.id),
		Service:         service,
		Deadline:        deadline,
		FirstSubmission: callerapi.NewOptBool(true),
	}
	for i, t := range planned.tasks {
		task := callerapi.Task{Kind: callerapi.Name(kindName(t)), Payload: taskPayload(t, i)}
		if t.declaredRunTime > 0 {
			task.DeclaredRunMs = callerapi.NewOptInt(int(t.declaredRunTime.Milliseconds()))
		}
		job.Tasks = append(job.Tasks, task)
	}
	s.mu.Lock()
	s.nextCaller++
	client := s.callerClients[s.nextCaller%len(s.callerClients)]
	s.mu.Unlock()
	answer, err := client.SubmitJob(ctx, job)
	if ctx.Err() != nil {
		s.cancelJob(client, planned)
		return cancelled, ""
	}
	if err != nil {
		return refused, refusalReason(err)
	}
	if answer.Status != callerapi.AnswerStatusComplete {
		return failed, answer.Reason.Value
	}
	return complete, ""
}

// cancelJob cancels a job whose submission was abandoned.
func (s *systemDispatcher) cancelJob(client *callerapi.Client, job plannedJob) {
	// The only expected error is that the job has ended, which needs no handling.
	_, _ = client.CancelJob(context.Background(), callerapi.CancelJobParams{
		Team:  callerapi.Name(job.team),
		JobID: callerapi.Name(job.id),
	})
}

func (s *systemDispatcher) setZone(ctx context.Context, zone string, out bool) error {
	_, err := s.operatorClient.SetZone(ctx, &operatorapi.Switch{Out: out, Author: "measure"}, operatorapi.SetZoneParams{Zone: zone})
	return err
}

func (s *systemDispatcher) startCounts() (int64, map[string]int64) {
	wasted := map[string]int64{}
	sent := int64(0)
	for _, e := range s.system.Entries {
		e.Counters().Retries.Do(func(kv expvar.KeyValue) {
			wasted[kv.Key] += kv.Value.(*expvar.Int).Value()
		})
		if v, ok := e.Counters().Events.Get("starts_sent").(*expvar.Int); ok {
			sent += v.Value()
		}
	}
	return sent, wasted
}

func kindName(t plannedTask) string { return fmt.Sprintf("work-%d", t.kind) }

func taskPayload(t plannedTask, i int) []byte {
	return fmt.Appendf(nil, "%s %d", t.runTime, i)
}

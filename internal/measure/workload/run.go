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
	// roundTrip is counted in the ideal response.
	roundTrip = time.Millisecond
	// warmUp is how many jobs go first, uncounted, so that run times are
	// known.
	warmUp = 20
	// minFree keeps the ideal finite when every slot is taken.
	minFree = 1.0
	service = "measured"
)

// dispatcher runs one job on the endpoints of a run.
type dispatcher interface {
	// submit runs a job until it ends or ctx does.
	submit(ctx context.Context, o offer, deadline time.Time) (outcome, string)
	// setZone takes a zone out of service, or back in.
	setZone(ctx context.Context, zone string, out bool) error
	// messages returns the starts sent so far, and those that did no work, by
	// reason.
	messages() (sent int64, wasted map[string]int64)
}

// Run measures the system and a naive dispatcher, one after the other, with
// the same jobs.
func Run(ctx context.Context, w Workload) ([]Report, error) {
	var reports []Report
	for _, name := range []string{"naive", "savorystair"} {
		r, err := w.runOne(ctx, name)
		if err != nil {
			return reports, fmt.Errorf("%s with %s: %w", w.Name, name, err)
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func (w Workload) runOne(ctx context.Context, name string) (Report, error) {
	s, err := local.Start(ctx, local.Options{
		Entries: w.Entries,
		Agents:  w.Instances,
		Slots:   w.Slots,
		Service: service,
		Speed:   w.speed,
		FailAll: func(agent int) bool { return agent < w.Failing },
	}, zap.NewNop())
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	r := &run{workload: w, endpoints: s.Endpoints}
	if name == "naive" {
		r.dispatcher = newNaive(w, s.Endpoints)
	} else {
		r.dispatcher, err = newSystem(s)
	}
	if err != nil {
		return Report{}, err
	}
	r.warm(ctx)
	return r.measure(ctx, name)
}

// run is one dispatcher at work.
type run struct {
	workload   Workload
	endpoints  []*endpoint.Endpoint
	dispatcher dispatcher
	began      time.Time

	mu      sync.Mutex
	results []result
	zone    zoneTimes
}

// zoneTimes are when a zone left and returned, since the start of the run.
type zoneTimes struct {
	out time.Duration
	in  time.Duration
}

// warm lets the dispatcher see the endpoints once.
func (r *run) warm(ctx context.Context) {
	var wait sync.WaitGroup
	offers := r.workload.plan()
	for i := range min(warmUp, len(offers)) {
		o := offers[i]
		o.id = "warm-" + o.id
		wait.Go(func() { r.dispatcher.submit(ctx, o, time.Now().Add(r.deadline())) })
	}
	wait.Wait()
}

func (r *run) measure(ctx context.Context, name string) (Report, error) {
	sentBefore, wastedBefore := r.dispatcher.messages()
	r.began = time.Now()
	var wait sync.WaitGroup
	wait.Go(func() { r.cycleZone(ctx) })
	for _, o := range r.workload.plan() {
		time.Sleep(time.Until(r.began.Add(o.at)))
		wait.Go(func() { r.one(ctx, o) })
	}
	wait.Wait()
	report := r.workload.summarize(name, r.results, time.Since(r.began))
	sent, wasted := r.dispatcher.messages()
	report.Messages = sent - sentBefore
	report.Reasons = map[string]int64{}
	for reason, n := range wasted {
		report.Reasons[reason] = n - wastedBefore[reason]
		report.Wasted += n - wastedBefore[reason]
	}
	if report.Messages > 0 {
		report.WastedPercent = 100 * float64(report.Wasted) / float64(report.Messages)
	}
	report.Zone = r.zoneReport()
	return report, ctx.Err()
}

func (r *run) deadline() time.Duration {
	return time.Duration(r.workload.DeadlineMS) * time.Millisecond
}

// one submits one job, and cancels it if its caller is to.
func (r *run) one(ctx context.Context, o offer) {
	res := result{offer: o, ideal: r.ideal(o)}
	began := time.Now()
	jobCtx, cancel := context.WithCancel(ctx)
	if o.cancelAt > 0 {
		jobCtx, cancel = context.WithTimeout(ctx, o.cancelAt)
	}
	defer cancel()
	res.outcome, res.reason = r.dispatcher.submit(jobCtx, o, began.Add(r.deadline()))
	res.took = time.Since(began)
	res.ended = time.Since(r.began)
	if jobCtx.Err() != nil && ctx.Err() == nil {
		res.outcome = cancelled
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// ideal is the lower bound of a job's response: its longest task on the
// fastest endpoint, or its work on the slots that are free, and a round trip.
func (r *run) ideal(o offer) time.Duration {
	free := 0.0
	for i, e := range r.endpoints {
		if i >= r.workload.Failing {
			free += r.workload.speed(i) * float64(max(0, r.workload.Slots-e.Running()))
		}
	}
	longest := time.Duration(float64(o.longest()) / r.workload.fastest())
	spread := time.Duration(float64(o.work()) / max(minFree, free))
	return max(longest, spread) + roundTrip
}

// cycleZone takes one zone out and back in, once.
func (r *run) cycleZone(ctx context.Context) {
	const zone = "zone-b"
	cycle := time.Duration(r.workload.ZoneSeconds) * time.Second
	if cycle == 0 {
		return
	}
	time.Sleep(cycle)
	// A switch that fails shows in the report: the zone goes on working.
	_ = r.dispatcher.setZone(ctx, zone, true)
	out := time.Since(r.began)
	time.Sleep(cycle)
	_ = r.dispatcher.setZone(ctx, zone, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zone = zoneTimes{out: out, in: time.Since(r.began)}
}

// zoneReport compares the work of starts by the endpoints' own records.
func (r *run) zoneReport() *ZoneReport {
	if r.zone.in == 0 {
		return nil
	}
	const settle = 5 * time.Second
	all := r.workload.capacity()
	left := all
	for i := r.workload.Failing; i < r.workload.Instances; i++ {
		if i%3 == 1 {
			left -= r.workload.speed(i) * float64(r.workload.Slots)
		}
	}
	end := r.workload.duration()
	return &ZoneReport{
		Before: r.busy(0, r.zone.out, all),
		During: r.busy(r.zone.out, r.zone.in, left),
		After:  r.busy(min(r.zone.in+settle, end), end, all),
	}
}

// busy returns the work that the endpoints ended between two times, as a share
// of what slots could do.
func (r *run) busy(from, to time.Duration, slots float64) float64 {
	work := time.Duration(0)
	for _, e := range r.endpoints {
		work += e.WorkDone(r.began.Add(from), r.began.Add(to))
	}
	if to <= from {
		return 0
	}
	return 100 * work.Seconds() / (to - from).Seconds() / slots
}

// system is savorystair as callers and operators see it.
type system struct {
	system    *local.System
	callers   []*callerapi.Client
	operators *operatorapi.Client

	mu   sync.Mutex
	next int
}

func newSystem(s *local.System) (*system, error) {
	sys := &system{system: s}
	for _, e := range s.Entries {
		c, err := callerapi.NewClient("http://"+e.CallerAddress(), callerapi.WithClient(newHTTPClient()))
		if err != nil {
			return nil, err
		}
		sys.callers = append(sys.callers, c)
	}
	op, err := operatorapi.NewClient("http://" + s.Entries[0].OperatorAddress())
	sys.operators = op
	return sys, err
}

func (s *system) submit(ctx context.Context, o offer, deadline time.Time) (outcome, string) {
	job := &callerapi.Job{
		Team:            callerapi.Name(o.team),
		JobID:           callerapi.Name(o.id),
		Service:         service,
		Deadline:        deadline,
		FirstSubmission: callerapi.NewOptBool(true),
	}
	for i, t := range o.tasks {
		task := callerapi.Task{Kind: callerapi.Name(kindName(t)), Payload: payload(t, i)}
		if t.declared > 0 {
			task.DeclaredRunMs = callerapi.NewOptInt(int(t.declared.Milliseconds()))
		}
		job.Tasks = append(job.Tasks, task)
	}
	s.mu.Lock()
	s.next++
	client := s.callers[s.next%len(s.callers)]
	s.mu.Unlock()
	answer, err := client.SubmitJob(ctx, job)
	if ctx.Err() != nil {
		s.cancel(client, o)
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

// cancel withdraws a job whose caller has gone.
func (s *system) cancel(client *callerapi.Client, o offer) {
	// A job that has ended needs no cancelling.
	_, _ = client.CancelJob(context.Background(), callerapi.CancelJobParams{
		Team:  callerapi.Name(o.team),
		JobID: callerapi.Name(o.id),
	})
}

func (s *system) setZone(ctx context.Context, zone string, out bool) error {
	_, err := s.operators.SetZone(ctx, &operatorapi.Switch{Out: out, Author: "measure"}, operatorapi.SetZoneParams{Zone: zone})
	return err
}

func (s *system) messages() (int64, map[string]int64) {
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

func kindName(t offeredTask) string { return fmt.Sprintf("work-%d", t.kind) }

func payload(t offeredTask, i int) []byte {
	return fmt.Appendf(nil, "%s %d", t.run, i)
}

package main_test

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/gen/operatorapi"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
)

// surveyEndpoint describes the endpoints of most tests.
var surveyEndpoint = endpoint.Options{Service: "survey", Slots: 8, Connections: 64}

// TestEntryKilled kills an entry under load. The callers submit its jobs again to
// another entry, which must take them over and complete every one, since no agent
// has failed.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 3, surveyEndpoint)
	load := s.startLoad(8, 12, "20ms")
	time.Sleep(700 * time.Millisecond)
	// The load may have no job at the entry when it is killed. This job takes
	// long enough to be in progress there at that time.
	heldJob := newJob("team", "held", 120, "work", "100ms", 20*time.Second)
	answered := make(chan jobOutcome)
	go func() { answered <- load.submit(heldJob, len(s.entries)-1) }()
	s.eventually(5*time.Second, "a task of the job was started", func() bool { return countStarts(heldJob, s.startCounts()) > 0 })
	s.entries[0].kill()
	time.Sleep(1500 * time.Millisecond)
	outcomes := append(load.stop(), <-answered)
	s.checkStartedOnce()
	checkAnswer(t, heldJob, outcomes[len(outcomes)-1].answer)
	checkAllComplete(t, outcomes)
	if n := s.countTakeOvers(); n == 0 {
		t.Error("no job was taken over, want at least one: none was in progress at the killed entry")
	}
}

// countTakeOvers returns the number of jobs that running entries took over, by
// their counters.
func (s *system) countTakeOvers() int {
	total := 0
	for _, e := range s.entries {
		var vars struct {
			Events struct {
				TakeOvers int `json:"take_overs"`
			} `json:"events"`
		}
		if getJSON(s.t.Context(), "http://"+e.operatorAddress+"/debug/vars", &vars) == nil {
			total += vars.Events.TakeOvers
		}
	}
	return total
}

// TestEntryPaused pauses an entry with a claimed job, submits the job to
// another entry, which takes it over, and continues the first. The first entry
// must not start any task again.
func TestEntryPaused(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 3, surveyEndpoint)
	for round := range 3 {
		job := newJob("team", fmt.Sprintf("paused-%d", round), 120, "work", "50ms", 20*time.Second)
		firstAnswered := make(chan struct{})
		go func() {
			defer close(firstAnswered)
			submit(t, s.entries[0], job)
		}()
		s.eventually(5*time.Second, "a task of the job was started", func() bool { return countStarts(job, s.startCounts()) > 0 })
		time.Sleep(time.Duration(30*round) * time.Millisecond)
		s.entries[0].signal(syscall.SIGSTOP)
		submit(t, s.entries[1], job)
		s.entries[0].signal(syscall.SIGCONT)
		<-firstAnswered
	}
	s.checkStartedOnce()
	if n := s.countTakeOvers(); n != 3 {
		t.Errorf("%d jobs were taken over, want 3", n)
	}
}

// TestAgentKilled kills an agent under load. The jobs with tasks on that agent
// must fail within 2 s as jobs that may have run, and all other jobs must
// complete.
func TestAgentKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 3, surveyEndpoint)
	load := s.startLoad(6, 8, "20ms")
	time.Sleep(700 * time.Millisecond)
	s.agents[0].kill()
	killedAt := time.Now()
	time.Sleep(2 * time.Second)
	outcomes := load.stop()
	complete, failed, refused := countOutcomes(outcomes)
	t.Logf("%d complete, %d failed, %d refused", complete, failed, refused)
	if failed == 0 || failed > 6 || refused > 0 {
		t.Errorf("%d jobs failed and %d were refused, want 1 to 6 failed and none refused", failed, refused)
	}
	for _, o := range outcomes {
		if o.answer != nil && o.answer.Status == callerapi.AnswerStatusFailed {
			if !o.answer.MayHaveRun.Value {
				t.Errorf("job %s failed as not run, although its tasks may have run on the killed agent", o.job.JobID)
			}
			if delay := o.endedAt.Sub(killedAt); delay > 2*time.Second {
				t.Errorf("job %s failed %s after the agent was killed, want at most 2 s", o.job.JobID, delay)
			}
		}
	}
}

// TestTableOutage makes the table service fail or stop responding. Meanwhile
// claimed jobs must continue, repeatable requests must be answered, and new
// jobs, which need a claim, must be refused at once. Claims must work again
// after the outage.
func TestTableOutage(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]*tablepb.SetFaultsRequest{
		"down":   {Down: true},
		"silent": {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, 2, 3, surveyEndpoint)
			claimedJob := newJob("team", "claimed", 240, "work", "200ms", 30*time.Second)
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				submit(t, s.entries[0], claimedJob)
			}()
			time.Sleep(300 * time.Millisecond)
			s.setTableFaults(fault)
			time.Sleep(4 * time.Second)
			s.checkRepeatableRequest(s.entries[0])
			s.checkRepeatableRequest(s.entries[1])
			s.checkRefusal(s.entries[0])
			<-answered
			s.setTableFaults(&tablepb.SetFaultsRequest{})
			s.eventually(5*time.Second, "a new job completes after the outage", func() bool {
				job := newJob("team", fmt.Sprintf("after-%d", time.Now().UnixNano()), 3, "echo", "", 5*time.Second)
				a, err := s.entries[0].callerClient.SubmitJob(t.Context(), job)
				return err == nil && a.Status == callerapi.AnswerStatusComplete
			})
			s.checkStartedOnce()
		})
	}
}

// checkRepeatableRequest checks that an entry completes a repeatable request.
func (s *system) checkRepeatableRequest(e *entryProcess) {
	s.t.Helper()
	a, err := e.callerClient.SubmitRequest(s.t.Context(), &callerapi.SingleRequest{
		Team:     "team",
		Service:  "survey",
		Deadline: time.Now().Add(5 * time.Second),
		Task:     callerapi.Task{Kind: "echo", Payload: []byte("x")},
	})
	if err != nil || a.Status != callerapi.AnswerStatusComplete {
		s.t.Errorf("repeatable request at %s: answer %v, error %v, want a complete answer", e.id, a, err)
	}
}

// checkRefusal checks that an entry refuses a new job as not run within 50 ms.
// If that takes longer, it also reports how long the entry and a health request
// took, which shows whether the entry or the machine was slow.
func (s *system) checkRefusal(e *entryProcess) {
	s.t.Helper()
	const limit = 50 * time.Millisecond
	job := newJob("team", "refused", 3, "echo", "", 5*time.Second)
	job.FirstSubmission = callerapi.NewOptBool(true)
	start := time.Now()
	_, err := e.callerClient.SubmitJob(s.t.Context(), job)
	elapsed := time.Since(start)
	var refusal *callerapi.RefusalStatusCode
	if !errors.As(err, &refusal) || !refusal.Response.NotRun || refusal.Response.Reason != "table_unavailable" {
		s.t.Errorf("new job during an outage of the table service: %v, want a refusal as not run with reason table_unavailable", err)
	}
	if elapsed > limit {
		start = time.Now()
		health := -1
		if resp, err := http.Get("http://" + e.callerAddress + "/healthz"); err == nil {
			health = resp.StatusCode
			resp.Body.Close()
		}
		s.t.Errorf("the refusal took %s, want at most %s; the entry took %s ms to refuse, and a health request took %s (status %d)",
			elapsed, limit, e.waitLogField("job refused", "age_ms"), time.Since(start), health)
	}
}

// TestZoneOutWhilePaused takes an availability zone out of service while the
// agent of the zone and an entry are paused. When they continue, neither has
// received the edit; still no task may start in the zone more than 3 s after it
// was accepted.
func TestZoneOutWhilePaused(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 3, surveyEndpoint)
	load := s.startLoad(9, 30, "20ms")
	time.Sleep(500 * time.Millisecond)
	s.agents[1].signal(syscall.SIGSTOP)
	s.entries[0].signal(syscall.SIGSTOP)
	time.Sleep(300 * time.Millisecond)
	_, err := s.entries[2].operatorClient.SetZone(t.Context(), &operatorapi.Switch{Out: true, Author: "test"}, operatorapi.SetZoneParams{Zone: "zone-b"})
	if err != nil {
		t.Fatal(err)
	}
	acceptedAt := time.Now()
	time.Sleep(4 * time.Second)
	s.agents[1].signal(syscall.SIGCONT)
	s.entries[0].signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	outcomes := load.stop()
	complete, failed, refused := countOutcomes(outcomes)
	t.Logf("%d complete, %d failed, %d refused", complete, failed, refused)
	if complete == 0 {
		t.Error("no job completed in the zones that remain in service, want some")
	}
	for _, start := range s.agents[1].endpoint.Starts() {
		if delay := start.At.Sub(acceptedAt); delay > 3*time.Second {
			t.Errorf("task %s/%s started in zone-b %s after the zone was taken out of service, want at most 3 s", start.Job, start.Task, delay)
		}
	}
}

// TestZoneOutWhileCutOffFromTable cuts one entry off from the table service,
// but not from the other entry, and takes an availability zone out of service.
// The entry must receive the change from the other entry and complete the job
// that it has claimed without starting tasks in the zone more than 3 s after
// the edit.
func TestZoneOutWhileCutOffFromTable(t *testing.T) {
	t.Parallel()
	s := startTable(t, false)
	tableRelay := newRelay(t)
	tableRelay.setTarget(s.tableAddress)
	directAddress := s.tableAddress
	s.tableAddress = tableRelay.address()
	s.startEntry("entry-0", "zone-a")
	s.tableAddress = directAddress
	s.startEntry("entry-1", "zone-b")
	for i := range 3 {
		s.startAgent(fmt.Sprintf("agent-%d", i), zoneName(i), surveyEndpoint)
	}
	s.waitReady()
	// Each entry writes a table row every 5 s, by which the others discover it.
	s.eventually(10*time.Second, "entry-0 lists every process", func() bool {
		status, err := s.entries[0].operatorClient.GetStatus(t.Context())
		return err == nil && len(status.Processes) == 5
	})
	claimedJob := newJob("team", "claimed", 900/4, "work", "500ms", 60*time.Second)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		submit(t, s.entries[0], claimedJob)
	}()
	time.Sleep(time.Second)
	tableRelay.partition()
	time.Sleep(2 * time.Second)
	_, err := s.entries[1].operatorClient.SetZone(t.Context(), &operatorapi.Switch{Out: true, Author: "test"}, operatorapi.SetZoneParams{Zone: "zone-c"})
	if err != nil {
		t.Fatal(err)
	}
	acceptedAt := time.Now()
	<-answered
	for _, start := range s.agents[2].endpoint.Starts() {
		if delay := start.At.Sub(acceptedAt); delay > 3*time.Second {
			t.Errorf("task %s/%s started in zone-c %s after the zone was taken out of service, want at most 3 s", start.Job, start.Task, delay)
		}
	}
	s.checkStartedOnce()
}

// TestUnconfirmedViewStartsNothing cuts an entry off from the table service and
// pauses the other entry, so that the first can't confirm its view of the
// configuration. It must start no task and refuse a new request as not run.
func TestUnconfirmedViewStartsNothing(t *testing.T) {
	t.Parallel()
	s := startTable(t, true)
	s.startEntry("entry-0", "zone-a")
	s.startEntry("entry-1", "zone-b")
	s.startAgent("agent-0", "zone-a", surveyEndpoint)
	s.waitReady()
	s.eventually(10*time.Second, "entry-0 lists every process", func() bool {
		status, err := s.entries[0].operatorClient.GetStatus(t.Context())
		return err == nil && len(status.Processes) == 3
	})
	s.tableRelay.partition()
	s.entries[1].signal(syscall.SIGSTOP)
	time.Sleep(4 * time.Second)
	before := len(s.agents[0].endpoint.Starts())
	_, err := s.entries[0].callerClient.SubmitRequest(t.Context(), &callerapi.SingleRequest{
		Team:     "team",
		Service:  "survey",
		Deadline: time.Now().Add(5 * time.Second),
		Task:     callerapi.Task{Kind: "echo", Payload: []byte("x")},
	})
	var refusal *callerapi.RefusalStatusCode
	if !errors.As(err, &refusal) || refusal.Response.Reason != "view_unconfirmed" || !refusal.Response.NotRun {
		t.Errorf("request under an unconfirmed view: %v, want a refusal as not run with reason view_unconfirmed", err)
	}
	if after := len(s.agents[0].endpoint.Starts()); after != before {
		t.Errorf("%d tasks were started, want none", after-before)
	}
}

// TestPlannedStops stops an entry, an agent and an endpoint one after another
// under load. Jobs must complete or be refused by the stopping entry, and no
// task may start at the stopped endpoint more than 3 s after it left.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 4, surveyEndpoint)
	load := s.startLoad(8, 12, "30ms")
	time.Sleep(500 * time.Millisecond)
	s.entries[0].signal(syscall.SIGTERM)
	s.checkStopped(s.entries[0].childProcess)
	s.agents[0].signal(syscall.SIGTERM)
	s.checkStopped(s.agents[0].childProcess)
	if err := s.agents[1].endpoint.Leave(t.Context()); err != nil {
		t.Error(err)
	}
	leftAt := time.Now()
	time.Sleep(700 * time.Millisecond)
	for _, o := range load.stop() {
		switch {
		case o.refusal != nil && o.refusal.Reason == "stopping":
		case o.refusal != nil:
			t.Errorf("job %s refused: %s, want a complete answer or a refusal because the entry is stopping", o.job.JobID, o.refusal.Reason)
		default:
			checkAnswer(t, o.job, o.answer)
		}
	}
	for _, start := range s.agents[1].endpoint.Starts() {
		if delay := start.At.Sub(leftAt); delay > 3*time.Second {
			t.Errorf("a task started at the endpoint %s after the endpoint left, want at most 3 s", delay)
		}
	}
}

// checkStopped waits until a process that was sent SIGTERM exits, and checks
// its status.
func (s *system) checkStopped(p *childProcess) {
	s.t.Helper()
	select {
	case <-p.exited:
		if p.exitErr != nil {
			s.t.Errorf("%s exited with error %v, want a successful exit", p.name, p.exitErr)
		}
	case <-time.After(15 * time.Second):
		s.t.Errorf("%s did not exit within 15 s", p.name)
	}
}

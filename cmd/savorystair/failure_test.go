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

var survey = endpoint.Options{Service: "survey", Slots: 8, Connections: 64}

// A killed entry's jobs are taken over when their callers come to another
// entry; with every agent there, each gets its whole answer.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 3, survey)
	l := s.startLoad(8, 12, "20ms")
	time.Sleep(700 * time.Millisecond)
	// The load may have no job at the entry just when it is killed; this one is
	// there until it has lost its entry.
	held := newJob("team", "held", 120, "work", "100ms", 20*time.Second)
	answered := make(chan loadOutcome)
	go func() { answered <- l.submit(held, len(s.entries)-1) }()
	s.eventually(5*time.Second, "a task of the job has begun", func() bool { return startsOf(held, s.startCounts()) > 0 })
	s.entries[0].kill()
	time.Sleep(1500 * time.Millisecond)
	outcomes := append(l.end(), <-answered)
	s.checkStarts()
	checkAnswer(t, held, outcomes[len(outcomes)-1].answer)
	wantComplete(t, outcomes)
	if n := s.takeOvers(); n == 0 {
		t.Error("no job was taken over: the kill met none in flight")
	}
}

func (s *system) takeOvers() int {
	total := 0
	for _, e := range s.entries {
		var vars struct {
			Events struct {
				TakeOvers int `json:"take_overs"`
			} `json:"events"`
		}
		if getJSON(s.t.Context(), "http://"+e.varsAt+"/debug/vars", &vars) == nil {
			total += vars.Events.TakeOvers
		}
	}
	return total
}

// A paused entry that comes back starts nothing that another has taken over.
func TestEntryPaused(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 3, survey)
	for round := range 3 {
		job := newJob("team", fmt.Sprintf("paused-%d", round), 60, "work", "50ms", 20*time.Second)
		first := make(chan struct{})
		go func() {
			defer close(first)
			submit(t, s.entries[0], job)
		}()
		time.Sleep(time.Duration(60+30*round) * time.Millisecond)
		s.entries[0].signal(syscall.SIGSTOP)
		submit(t, s.entries[1], job)
		s.entries[0].signal(syscall.SIGCONT)
		<-first
	}
	s.checkStarts()
	if n := s.takeOvers(); n != 3 {
		t.Errorf("%d jobs were taken over, want 3", n)
	}
}

// A killed agent takes its running tasks with it: their jobs fail clearly, and
// the others complete.
func TestAgentKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 3, survey)
	l := s.startLoad(6, 8, "20ms")
	time.Sleep(700 * time.Millisecond)
	s.agents[0].kill()
	killed := time.Now()
	time.Sleep(2 * time.Second)
	outcomes := l.end()
	complete, failed, refused := tally(outcomes)
	t.Logf("%d complete, %d failed, %d refused", complete, failed, refused)
	if failed == 0 || failed > 6 || refused > 0 {
		t.Errorf("%d jobs failed and %d were refused, want 1 to 6 and none", failed, refused)
	}
	for _, o := range outcomes {
		if o.answer != nil && o.answer.Status == callerapi.AnswerStatusFailed {
			if !o.answer.MayHaveRun.Value {
				t.Errorf("job %s: a task that an agent took along counts as not run", o.job.JobID)
			}
			if late := o.at.Sub(killed); late > 2*time.Second {
				t.Errorf("job %s failed %s after the agent was killed", o.job.JobID, late)
			}
		}
	}
}

// While the table service is out, claimed jobs go on, repeatable requests are
// answered, and new claims are refused at once.
func TestTableOutage(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]*tablepb.SetFaultsRequest{
		"down":   {Down: true},
		"silent": {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, 2, 3, survey)
			claimed := newJob("team", "claimed", 240, "work", "200ms", 30*time.Second)
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				submit(t, s.entries[0], claimed)
			}()
			time.Sleep(300 * time.Millisecond)
			s.setFaults(fault)
			time.Sleep(4 * time.Second)
			s.checkRequest(s.entries[0])
			s.checkRequest(s.entries[1])
			s.checkRefusal(s.entries[0])
			<-answered
			s.setFaults(&tablepb.SetFaultsRequest{})
			s.eventually(5*time.Second, "claims work again", func() bool {
				job := newJob("team", fmt.Sprintf("after-%d", time.Now().UnixNano()), 3, "echo", "", 5*time.Second)
				a, err := s.entries[0].callers.SubmitJob(t.Context(), job)
				return err == nil && a.Status == callerapi.AnswerStatusComplete
			})
			s.checkStarts()
		})
	}
}

// checkRequest runs a repeatable request.
func (s *system) checkRequest(e *entryProgram) {
	s.t.Helper()
	a, err := e.callers.SubmitRequest(s.t.Context(), &callerapi.SingleRequest{
		Team:     "team",
		Service:  "survey",
		Deadline: time.Now().Add(5 * time.Second),
		Task:     callerapi.Task{Kind: "echo", Payload: []byte("x")},
	})
	if err != nil || a.Status != callerapi.AnswerStatusComplete {
		s.t.Errorf("repeatable request at %s: %v, %v", e.id, a, err)
	}
}

// checkRefusal submits a new job and wants it refused as not run within 50 ms.
func (s *system) checkRefusal(e *entryProgram) {
	s.t.Helper()
	const limit = 50 * time.Millisecond
	job := newJob("team", "refused", 3, "echo", "", 5*time.Second)
	job.FirstSubmission = callerapi.NewOptBool(true)
	began := time.Now()
	_, err := e.callers.SubmitJob(s.t.Context(), job)
	took := time.Since(began)
	var refusal *callerapi.RefusalStatusCode
	if !errors.As(err, &refusal) || !refusal.Response.NotRun || refusal.Response.Reason != "table_unavailable" {
		s.t.Errorf("new job in an outage: %v, want a refusal as not run", err)
	}
	if took > limit {
		began = time.Now()
		health := -1
		if resp, err := http.Get("http://" + e.callerAt + "/healthz"); err == nil {
			health = resp.StatusCode
			resp.Body.Close()
		}
		s.t.Errorf("the refusal took %s, want at most %s; the entry took %s ms for it, and the test %s for a look at its health (%d)",
			took, limit, e.field("job refused", "age_ms"), time.Since(began), health)
	}
}

// No task starts in a zone 3 s after it was taken out, whatever is paused: the
// agent there throughout the edit, and an entry that has not heard of it.
func TestZoneOutWhilePaused(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 3, survey)
	l := s.startLoad(9, 30, "20ms")
	time.Sleep(500 * time.Millisecond)
	s.agents[1].signal(syscall.SIGSTOP)
	s.entries[0].signal(syscall.SIGSTOP)
	time.Sleep(300 * time.Millisecond)
	_, err := s.entries[2].operator.SetZone(t.Context(), &operatorapi.Switch{Out: true, Author: "test"}, operatorapi.SetZoneParams{Zone: "zone-b"})
	if err != nil {
		t.Fatal(err)
	}
	accepted := time.Now()
	time.Sleep(4 * time.Second)
	s.agents[1].signal(syscall.SIGCONT)
	s.entries[0].signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	outcomes := l.end()
	complete, failed, refused := tally(outcomes)
	t.Logf("%d complete, %d failed, %d refused", complete, failed, refused)
	if complete == 0 {
		t.Error("no job completed beside the zone that is out")
	}
	for _, start := range s.agents[1].endpoint.Starts() {
		if late := start.At.Sub(accepted); late > 3*time.Second {
			t.Errorf("task %s/%s started in zone-b %s after it was taken out", start.Job, start.Task, late)
		}
	}
}

// An entry that is cut off from the table, and not from the others, learns of a
// zone that is taken out from them; it goes on serving what it has claimed.
func TestZoneOutWhileCutOffFromTable(t *testing.T) {
	t.Parallel()
	s := startTable(t, false)
	r := newRelay(t)
	r.to(s.tableAt)
	direct := s.tableAt
	s.tableAt = r.address()
	s.startEntry("entry-0", "zone-a")
	s.tableAt = direct
	s.startEntry("entry-1", "zone-b")
	for i := range 3 {
		s.startAgent(fmt.Sprintf("agent-%d", i), zoneName(i), survey)
	}
	s.ready()
	// The entries find one another by the rows that they write every 5 s.
	s.eventually(10*time.Second, "the entries know one another", func() bool {
		status, err := s.entries[0].operator.GetStatus(t.Context())
		return err == nil && len(status.Processes) == 5
	})
	claimed := newJob("team", "claimed", 900/4, "work", "500ms", 60*time.Second)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		submit(t, s.entries[0], claimed)
	}()
	time.Sleep(time.Second)
	r.cut()
	time.Sleep(2 * time.Second)
	_, err := s.entries[1].operator.SetZone(t.Context(), &operatorapi.Switch{Out: true, Author: "test"}, operatorapi.SetZoneParams{Zone: "zone-c"})
	if err != nil {
		t.Fatal(err)
	}
	accepted := time.Now()
	<-answered
	for _, start := range s.agents[2].endpoint.Starts() {
		if late := start.At.Sub(accepted); late > 3*time.Second {
			t.Errorf("task %s/%s started in zone-c %s after it was taken out", start.Job, start.Task, late)
		}
	}
	s.checkStarts()
}

// An entry that is cut off from the table and from the other entry can't
// confirm its view: it starts nothing and says that a new job did not run.
func TestUnconfirmedViewStartsNothing(t *testing.T) {
	t.Parallel()
	s := startTable(t, true)
	s.startEntry("entry-0", "zone-a")
	s.startEntry("entry-1", "zone-b")
	s.startAgent("agent-0", "zone-a", survey)
	s.ready()
	s.eventually(10*time.Second, "the entries know one another", func() bool {
		status, err := s.entries[0].operator.GetStatus(t.Context())
		return err == nil && len(status.Processes) == 3
	})
	s.relay.cut()
	s.entries[1].signal(syscall.SIGSTOP)
	time.Sleep(4 * time.Second)
	before := len(s.agents[0].endpoint.Starts())
	_, err := s.entries[0].callers.SubmitRequest(t.Context(), &callerapi.SingleRequest{
		Team:     "team",
		Service:  "survey",
		Deadline: time.Now().Add(5 * time.Second),
		Task:     callerapi.Task{Kind: "echo", Payload: []byte("x")},
	})
	var refusal *callerapi.RefusalStatusCode
	if !errors.As(err, &refusal) || refusal.Response.Reason != "view_unconfirmed" || !refusal.Response.NotRun {
		t.Errorf("request under an unconfirmed view: %v, want a refusal as not run", err)
	}
	if after := len(s.agents[0].endpoint.Starts()); after != before {
		t.Errorf("%d tasks were started", after-before)
	}
}

// A planned stop cuts off nothing: of an entry, of an agent and of an endpoint,
// one after another under load.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 4, survey)
	l := s.startLoad(8, 12, "30ms")
	time.Sleep(500 * time.Millisecond)
	s.entries[0].signal(syscall.SIGTERM)
	s.waitEnd(s.entries[0].program)
	s.agents[0].signal(syscall.SIGTERM)
	s.waitEnd(s.agents[0].program)
	if err := s.agents[1].endpoint.Leave(t.Context()); err != nil {
		t.Error(err)
	}
	left := time.Now()
	time.Sleep(700 * time.Millisecond)
	for _, o := range l.end() {
		switch {
		case o.refusal != nil && o.refusal.Reason == "stopping":
		case o.refusal != nil:
			t.Errorf("job %s refused: %s", o.job.JobID, o.refusal.Reason)
		default:
			checkAnswer(t, o.job, o.answer)
		}
	}
	for _, start := range s.agents[1].endpoint.Starts() {
		if late := start.At.Sub(left); late > 3*time.Second {
			t.Errorf("task started at the endpoint %s after it left", late)
		}
	}
}

// waitEnd waits for a process that was told to stop, and checks its status.
func (s *system) waitEnd(p *program) {
	s.t.Helper()
	select {
	case <-p.ended:
		if p.status != nil {
			s.t.Errorf("%s stopped with %v", p.name, p.status)
		}
	case <-time.After(15 * time.Second):
		s.t.Errorf("%s did not stop within 15 s", p.name)
	}
}

package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/savorystair/savorystair/internal/client/cli"
	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/gen/operatorapi"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// asProgram makes the test binary behave as the program.
const asProgram = "SAVORYSTAIR_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	program := func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
	if os.Getenv(asProgram) != "" {
		program()
	}
	testscript.Main(m, map[string]func(){"savorystair": program})
}

// program is a running process of the system.
type program struct {
	t    testing.TB
	cmd  *exec.Cmd
	name string

	mu     sync.Mutex
	lines  []string
	ended  chan struct{}
	status error
}

// run starts the program and arranges for its end.
func run(t testing.TB, name string, args ...string) *program {
	t.Helper()
	p := &program{t: t, name: name, cmd: exec.Command(os.Args[0], args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), asProgram+"=1")
	lines, output, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	err = p.cmd.Start()
	output.Close()
	if err != nil {
		t.Fatal(err)
	}
	go p.read(lines)
	t.Cleanup(p.kill)
	return p
}

func (p *program) read(r io.ReadCloser) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
	}
	p.status = p.cmd.Wait()
	r.Close()
	close(p.ended)
}

// kill ends the process at once, paused or not, and shows its log if the test
// has failed.
func (p *program) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
	if p.t.Failed() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.t.Logf("last lines of %s:\n%s", p.name, strings.Join(p.lines[max(0, len(p.lines)-30):], "\n"))
	}
}

func (p *program) signal(s syscall.Signal) {
	// A process that has ended needs no signal.
	_ = p.cmd.Process.Signal(s)
}

// field waits for a log line with an event and returns a field of it.
func (p *program) field(event, key string) string {
	p.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		for _, line := range p.lines {
			if _, rest, ok := strings.Cut(line, key+"="); ok && strings.Contains(line, event) {
				p.mu.Unlock()
				value, _, _ := strings.Cut(rest, " ")
				return value
			}
		}
		p.mu.Unlock()
	}
	p.t.Fatalf("%s logged no %q with %s", p.name, event, key)
	return ""
}

// entryProgram is a running entry.
type entryProgram struct {
	*program
	id       string
	callers  *callerapi.Client
	operator *operatorapi.Client
	callerAt string
	varsAt   string
	peerAt   string
}

// agentProgram is a running agent with its endpoint, which lives in the test.
type agentProgram struct {
	*program
	id       string
	zone     string
	endpoint *endpoint.Endpoint

	linkAt, endpointAt string
}

// system is a running system of separate processes.
type system struct {
	t       testing.TB
	table   *program
	relay   *relay // between the entries and the table, if set
	faults  tablepb.TableFaultsClient
	tableAt string
	entries []*entryProgram
	agents  []*agentProgram
}

// startSystem starts a table service, entries and agents, spread over three
// availability zones, and waits until they are ready.
func startSystem(t testing.TB, entries, agents int, o endpoint.Options) *system {
	t.Helper()
	s := startTable(t, false)
	for i := range entries {
		s.startEntry(fmt.Sprintf("entry-%d", i), zoneName(i))
	}
	for i := range agents {
		s.startAgent(fmt.Sprintf("agent-%d", i), zoneName(i), o)
	}
	s.ready()
	return s
}

// startTable starts a table service alone, which entries reach through a relay
// if told so.
func startTable(t testing.TB, throughRelay bool) *system {
	t.Helper()
	s := &system{t: t}
	s.table = run(t, "table", "standin", "table", "--address", "127.0.0.1:0")
	s.tableAt = s.table.field("table service started", "address")
	s.faults = tablepb.NewTableFaultsClient(h2c.Client(true, nil), "http://"+s.tableAt)
	if throughRelay {
		s.relay = newRelay(t)
		s.relay.to(s.tableAt)
		s.tableAt = s.relay.address()
	}
	return s
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

func (s *system) startEntry(id, zone string) *entryProgram {
	s.t.Helper()
	file := s.entrySettings(id, zone, "127.0.0.1:0", "127.0.0.2:0", "127.0.0.3:0")
	e := &entryProgram{program: run(s.t, id, "entry", "--settings", file), id: id}
	e.callerAt = e.field("entry started", "caller_address")
	e.varsAt = e.field("entry started", "operator_address")
	e.peerAt = e.field("entry started", "peer_address")
	e.callers = newCaller(s.t, e.callerAt)
	operator, err := operatorapi.NewClient("http://" + e.varsAt)
	if err != nil {
		s.t.Fatal(err)
	}
	e.operator = operator
	s.entries = append(s.entries, e)
	return e
}

// newCaller returns a client with connections of its own.
func newCaller(t testing.TB, address string) *callerapi.Client {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	client, err := callerapi.NewClient("http://"+address, callerapi.WithClient(&http.Client{Transport: transport}))
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func (s *system) startAgent(id, zone string, o endpoint.Options) *agentProgram {
	s.t.Helper()
	return s.startAgentBehind(id, zone, o, nil)
}

// startAgentBehind starts an agent that entries reach through a relay, if one
// is given.
func (s *system) startAgentBehind(id, zone string, o endpoint.Options, r *relay) *agentProgram {
	s.t.Helper()
	file := s.agentSettings(id, zone, "127.0.0.1:0", "127.0.0.2:0", r)
	a := &agentProgram{program: run(s.t, id, "agent", "--settings", file), id: id, zone: zone}
	a.linkAt = a.field("agent started", "link_address")
	a.endpointAt = a.field("agent started", "endpoint_address")
	if r != nil {
		r.to(a.linkAt)
	}
	o.Address = "127.0.0.1:0"
	o.Agent = a.endpointAt
	e, err := endpoint.Run(o)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(e.Close)
	a.endpoint = e
	s.agents = append(s.agents, a)
	return a
}

func (s *system) entrySettings(id, zone, callerAt, operatorAt, peerAt string) string {
	s.t.Helper()
	return s.settings(id, map[string]any{
		"id": id, "region": "test", "zone": zone,
		"caller_address": callerAt, "operator_address": operatorAt, "peer_address": peerAt,
		"table_address": s.tableAt,
	})
}

// agentSettings are those of an agent that entries reach through a relay, if one
// is given.
func (s *system) agentSettings(id, zone, linkAt, endpointAt string, r *relay) string {
	s.t.Helper()
	var peers []string
	for _, e := range s.entries {
		peers = append(peers, e.peerAt)
	}
	settings := map[string]any{
		"id": id, "zone": zone, "entries": peers,
		"link_address": linkAt, "endpoint_address": endpointAt,
	}
	if r != nil {
		settings["advertise_address"] = r.address()
	}
	return s.settings(id, settings)
}

func (s *system) settings(id string, settings map[string]any) string {
	s.t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.t.TempDir(), id+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

// ready waits until every entry runs claimed jobs on every agent.
func (s *system) ready() {
	s.t.Helper()
	for _, e := range s.entries {
		s.eventually(20*time.Second, e.id+" is ready", func() bool {
			return e.usable(s.t.Context()) == len(s.agents)
		})
	}
}

// usable returns the agents that claimed jobs can use, by the entry's counters.
func (e *entryProgram) usable(ctx context.Context) int {
	var vars struct {
		Agents struct {
			Usable int `json:"usable"`
		} `json:"agents"`
	}
	if getJSON(ctx, "http://"+e.varsAt+"/debug/vars", &vars) != nil {
		return -1
	}
	return vars.Agents.Usable
}

func getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

func (s *system) eventually(limit time.Duration, what string, done func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// setFaults replaces the faults of the table service.
func (s *system) setFaults(f *tablepb.SetFaultsRequest) {
	s.t.Helper()
	if _, err := s.faults.SetFaults(s.t.Context(), connect.NewRequest(f)); err != nil {
		s.t.Fatal(err)
	}
}

// newJob returns a job whose results can be told from any other's.
func newJob(team, id string, tasks int, kind, prefix string, timeout time.Duration) *callerapi.Job {
	job := &callerapi.Job{
		Team:     callerapi.Name(team),
		JobID:    callerapi.Name(id),
		Service:  "survey",
		Deadline: time.Now().Add(timeout),
	}
	for i := range tasks {
		job.Tasks = append(job.Tasks, callerapi.Task{
			Kind:    callerapi.Name(kind),
			Payload: fmt.Appendf(nil, "%s %s/%s/%d", prefix, team, id, i),
		})
	}
	return job
}

// checkAnswer reports an answer that is not the whole answer to the job.
func checkAnswer(t testing.TB, job *callerapi.Job, a *callerapi.Answer) {
	t.Helper()
	if a.Status != callerapi.AnswerStatusComplete {
		t.Errorf("job %s failed: %s: %s, may have run: %t", job.JobID, a.Reason.Value, a.Detail.Value, a.MayHaveRun.Value)
		return
	}
	if len(a.Results) != len(job.Tasks) {
		t.Errorf("job %s: %d results for %d tasks", job.JobID, len(a.Results), len(job.Tasks))
		return
	}
	for i, r := range a.Results {
		if !bytes.Equal(r, job.Tasks[i].Payload) {
			t.Errorf("job %s: result %d is %q, want %q", job.JobID, i, r, job.Tasks[i].Payload)
		}
	}
}

// startCounts returns how often each task was started, by team/job/task.
func (s *system) startCounts() map[string]int {
	counts := map[string]int{}
	for _, a := range s.agents {
		for _, start := range a.endpoint.Starts() {
			counts[start.Team+"/"+start.Job+"/"+start.Task]++
		}
	}
	return counts
}

// checkStarts reports tasks that were started more than once.
func (s *system) checkStarts() {
	s.t.Helper()
	for task, n := range s.startCounts() {
		if n > 1 {
			s.t.Errorf("task %s was started %d times", task, n)
		}
	}
}

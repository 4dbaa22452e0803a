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

// runAsProgramEnv is the environment variable that makes the test binary run
// the savorystair command instead of the tests.
const runAsProgramEnv = "SAVORYSTAIR_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	program := func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
	if os.Getenv(runAsProgramEnv) != "" {
		program()
	}
	testscript.Main(m, map[string]func(){"savorystair": program})
}

// childProcess is the test binary running as a table service, an entry or an
// agent. Its standard output and standard error are collected line by line.
type childProcess struct {
	t    testing.TB
	cmd  *exec.Cmd
	name string

	mu          sync.Mutex
	outputLines []string
	exited      chan struct{} // closed once the process has exited
	exitErr     error         // result of Wait; read it only after exited is closed
}

// startProcess starts the savorystair command and kills it when the test ends.
func startProcess(t testing.TB, name string, args ...string) *childProcess {
	t.Helper()
	return startProgram(t, os.Args[0], name, args...)
}

// startProgram is like startProcess, but runs the given program instead of the
// test binary.
func startProgram(t testing.TB, program, name string, args ...string) *childProcess {
	t.Helper()
	p := &childProcess{t: t, name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	outputReader, outputWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = outputWriter, outputWriter
	err = p.cmd.Start()
	outputWriter.Close()
	if err != nil {
		t.Fatal(err)
	}
	go p.readOutput(outputReader)
	t.Cleanup(p.kill)
	return p
}

func (p *childProcess) readOutput(r io.ReadCloser) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		p.outputLines = append(p.outputLines, scanner.Text())
		p.mu.Unlock()
	}
	p.exitErr = p.cmd.Wait()
	r.Close()
	close(p.exited)
}

// kill sends SIGKILL, which also ends a paused process, and waits for the exit.
// If the test has failed, it logs the last lines of output.
func (p *childProcess) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
	if p.t.Failed() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.t.Logf("last lines of %s:\n%s", p.name, strings.Join(p.outputLines[max(0, len(p.outputLines)-30):], "\n"))
	}
}

func (p *childProcess) signal(sig syscall.Signal) {
	// The error is ignored: Signal fails only if the process has exited.
	_ = p.cmd.Process.Signal(sig)
}

// waitLogField waits for a log line that contains the event and the key, and
// returns the value of the key.
func (p *childProcess) waitLogField(event, key string) string {
	p.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		for _, line := range p.outputLines {
			if _, rest, ok := strings.Cut(line, key+"="); ok && strings.Contains(line, event) {
				p.mu.Unlock()
				value, _, _ := strings.Cut(rest, " ")
				return value
			}
		}
		p.mu.Unlock()
	}
	p.t.Fatalf("%s logged no line %q with the key %s within 20 s", p.name, event, key)
	return ""
}

// entryProcess is a running entry with clients for its addresses.
type entryProcess struct {
	*childProcess
	id              string
	callerClient    *callerapi.Client
	operatorClient  *operatorapi.Client
	callerAddress   string
	operatorAddress string
	peerAddress     string
}

// agentProcess is a running agent and its endpoint, which runs in the test
// process.
type agentProcess struct {
	*childProcess
	id       string
	zone     string
	endpoint *endpoint.Endpoint

	linkAddress, endpointAddress string
}

// system is a table service with its entries and agents, each a process of its
// own.
type system struct {
	t            testing.TB
	table        *childProcess
	tableRelay   *relay // nil if entries connect to the table service directly
	tableFaults  tablepb.TableFaultsClient
	tableAddress string
	entries      []*entryProcess
	agents       []*agentProcess
}

// startSystem starts a table service, entries and agents, spreads the entries
// and agents over three availability zones, and waits until they are ready.
func startSystem(t testing.TB, entries, agents int, options endpoint.Options) *system {
	t.Helper()
	s := startTable(t, false)
	for i := range entries {
		s.startEntry(fmt.Sprintf("entry-%d", i), zoneName(i))
	}
	for i := range agents {
		s.startAgent(fmt.Sprintf("agent-%d", i), zoneName(i), options)
	}
	s.waitReady()
	return s
}

// startTable starts a table service and returns a system without entries and
// agents. With throughRelay, entries connect to the table service through
// tableRelay.
func startTable(t testing.TB, throughRelay bool) *system {
	t.Helper()
	s := &system{t: t}
	s.table = startProcess(t, "table", "standin", "table", "--address", "127.0.0.1:0")
	s.tableAddress = s.table.waitLogField("table service started", "address")
	s.tableFaults = tablepb.NewTableFaultsClient(h2c.NewClient(true, nil), "http://"+s.tableAddress)
	if throughRelay {
		s.tableRelay = newRelay(t)
		s.tableRelay.setTarget(s.tableAddress)
		s.tableAddress = s.tableRelay.address()
	}
	return s
}

// zoneName returns the availability zone of the process with index i: zone-a,
// zone-b or zone-c in turn.
func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

func (s *system) startEntry(id, zone string) *entryProcess {
	s.t.Helper()
	file := s.writeEntrySettings(id, zone, "127.0.0.1:0", "127.0.0.2:0", "127.0.0.3:0")
	e := &entryProcess{childProcess: startProcess(s.t, id, "entry", "--settings", file), id: id}
	e.callerAddress = e.waitLogField("entry started", "caller_address")
	e.operatorAddress = e.waitLogField("entry started", "operator_address")
	e.peerAddress = e.waitLogField("entry started", "peer_address")
	e.callerClient = newCallerClient(s.t, e.callerAddress)
	operatorClient, err := operatorapi.NewClient("http://" + e.operatorAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	e.operatorClient = operatorClient
	s.entries = append(s.entries, e)
	return e
}

// newCallerClient returns a client of the caller API that shares no connections
// with other clients.
func newCallerClient(t testing.TB, address string) *callerapi.Client {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	client, err := callerapi.NewClient("http://"+address, callerapi.WithClient(&http.Client{Transport: transport}))
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func (s *system) startAgent(id, zone string, options endpoint.Options) *agentProcess {
	s.t.Helper()
	return s.startAgentBehindRelay(id, zone, options, nil)
}

// startAgentBehindRelay starts an agent and its endpoint. If r is not nil,
// entries connect to the agent through it.
func (s *system) startAgentBehindRelay(id, zone string, options endpoint.Options, r *relay) *agentProcess {
	s.t.Helper()
	file := s.writeAgentSettings(id, zone, "127.0.0.1:0", "127.0.0.2:0", r)
	a := &agentProcess{childProcess: startProcess(s.t, id, "agent", "--settings", file), id: id, zone: zone}
	a.linkAddress = a.waitLogField("agent started", "link_address")
	a.endpointAddress = a.waitLogField("agent started", "endpoint_address")
	if r != nil {
		r.setTarget(a.linkAddress)
	}
	options.Address = "127.0.0.1:0"
	options.AgentAddress = a.endpointAddress
	e, err := endpoint.Start(options)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(e.Close)
	a.endpoint = e
	s.agents = append(s.agents, a)
	return a
}

func (s *system) writeEntrySettings(id, zone, callerAddress, operatorAddress, peerAddress string) string {
	s.t.Helper()
	return s.writeSettings(id, map[string]any{
		"id": id, "region": "test", "zone": zone,
		"caller_address": callerAddress, "operator_address": operatorAddress, "peer_address": peerAddress,
		"table_address": s.tableAddress,
	})
}

// writeAgentSettings writes the settings file of an agent that lists the
// entries started so far. If r is not nil, the agent advertises the address of
// r.
func (s *system) writeAgentSettings(id, zone, linkAddress, endpointAddress string, r *relay) string {
	s.t.Helper()
	var entryAddresses []string
	for _, e := range s.entries {
		entryAddresses = append(entryAddresses, e.peerAddress)
	}
	settings := map[string]any{
		"id": id, "zone": zone, "entries": entryAddresses,
		"link_address": linkAddress, "endpoint_address": endpointAddress,
	}
	if r != nil {
		settings["advertise_address"] = r.address()
	}
	return s.writeSettings(id, settings)
}

// writeSettings writes a settings file for the process with the given id and
// returns its path.
func (s *system) writeSettings(id string, settings map[string]any) string {
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

// waitReady waits until every entry can send tasks of claimed jobs to every agent.
func (s *system) waitReady() {
	s.t.Helper()
	for _, e := range s.entries {
		s.eventually(20*time.Second, e.id+" can use every agent", func() bool {
			return e.usableAgents(s.t.Context()) == len(s.agents)
		})
	}
}

// usableAgents returns how many agents can run tasks of claimed jobs according to
// the entry's counters, or -1 if the counters can't be read.
func (e *entryProcess) usableAgents(ctx context.Context) int {
	var vars struct {
		Agents struct {
			Usable int `json:"usable"`
		} `json:"agents"`
	}
	if getJSON(ctx, "http://"+e.operatorAddress+"/debug/vars", &vars) != nil {
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

// eventually polls until holds returns true, and fails the test if that takes
// longer than timeout.
func (s *system) eventually(timeout time.Duration, condition string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(timeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("condition not met within %s: %s", timeout, condition)
		}
	}
}

// setTableFaults replaces the faults of the table service.
func (s *system) setTableFaults(f *tablepb.SetFaultsRequest) {
	s.t.Helper()
	if _, err := s.tableFaults.SetFaults(s.t.Context(), connect.NewRequest(f)); err != nil {
		s.t.Fatal(err)
	}
}

// newJob returns a job whose task payloads contain the team, the job id and the
// task index. Endpoints return the payload as the result, so that a result
// identifies its task.
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

// checkAnswer reports an error unless the answer is complete and has the
// expected result for every task.
func checkAnswer(t testing.TB, job *callerapi.Job, answer *callerapi.Answer) {
	t.Helper()
	if answer.Status != callerapi.AnswerStatusComplete {
		t.Errorf("job %s failed: %s: %s, may have run: %t; want a complete answer", job.JobID, answer.Reason.Value, answer.Detail.Value, answer.MayHaveRun.Value)
		return
	}
	if len(answer.Results) != len(job.Tasks) {
		t.Errorf("job %s: %d results, want %d", job.JobID, len(answer.Results), len(job.Tasks))
		return
	}
	for i, result := range answer.Results {
		if !bytes.Equal(result, job.Tasks[i].Payload) {
			t.Errorf("job %s: result %d is %q, want %q", job.JobID, i, result, job.Tasks[i].Payload)
		}
	}
}

// startCounts returns how often each task was started; its keys are
// team/job/task.
func (s *system) startCounts() map[string]int {
	counts := map[string]int{}
	for _, a := range s.agents {
		for _, start := range a.endpoint.Starts() {
			counts[start.Team+"/"+start.Job+"/"+start.Task]++
		}
	}
	return counts
}

// checkStartedOnce reports tasks that were started more than once.
func (s *system) checkStartedOnce() {
	s.t.Helper()
	for task, n := range s.startCounts() {
		if n > 1 {
			s.t.Errorf("task %s was started %d times, want at most once", task, n)
		}
	}
}

package main_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/platform/standin"
)

const (
	// hostileMemoryMB is the memory of each host in TestHostileClients. The
	// peak of a process must not exceed it.
	hostileMemoryMB = 64
	// hostileMaxDescriptors is the number of descriptors that each host allows.
	// A process may use three quarters of them: the rest is for files and
	// links that are established while clients hold connections.
	hostileMaxDescriptors  = 1024
	hostileDescriptorBound = hostileMaxDescriptors * 3 / 4
	// hostileHoldTime is how long the connections of a crowd are held at least
	// after all its clients have sent their requests. It is several times
	// crowdReconnectDelay, so that clients whose connections were closed come
	// back.
	hostileHoldTime = 600 * time.Millisecond
	// hostileReadTimeout bounds how long the connections are held for a process
	// that is still reading from them and closes none.
	hostileReadTimeout = 3 * time.Second
	// hostileAnswerTimeout bounds the time until an ordinary job is completed,
	// from the moment at which all clients of a crowd have sent their requests.
	hostileAnswerTimeout = 30 * time.Second
)

// TestHostileClients sends crowds of clients that don't keep to the limits to the
// addresses of an entry and an agent, one crowd at a time. It guards against
// processes that run out of memory or of descriptors, end, or don't serve
// ordinary callers any more. The processes are built without the race detector,
// with which a calm process has 50 MB instead of 20 MB. The test isn't parallel,
// so that no other test of this package runs beside it.
func TestHostileClients(t *testing.T) {
	program := buildProgram(t)
	callers := func(s *site) (*siteHost, string) { return s.entries[0], "8161" }
	operators := func(s *site) (*siteHost, string) { return s.entries[0], "7735" }
	peers := func(s *site) (*siteHost, string) { return s.entries[0], "8166" }
	readiness := func(s *site) (*siteHost, string) { return s.entries[0], "8167" }
	endpoints := func(s *site) (*siteHost, string) { return s.agents[0], "8166" }
	links := func(s *site) (*siteHost, string) { return s.agents[0], "7720" }
	jobPath := siteRoute.PathPrefix + "0123456789abcdef"
	whole := jobSending(standin.JobBody(1, legalBodyBytes))
	inPieces, largeChunks, smallChunks := whole, whole, whole
	inPieces.pieceBytes = 8000
	largeChunks.chunkBytes = 8000
	smallChunks.chunkBytes = 1
	taskCounts := jobSending(standin.JobBody(1_000_000, 0))
	taskCounts.stopsShort = false
	edit := bodySending{method: http.MethodPut, path: "/v1/config/zones", contentType: "application/json", body: standin.JobBody(1, legalBodyBytes), stopsShort: true}
	probe := edit
	probe.path = standin.ReadinessPath
	heartbeat := edit
	heartbeat.path, heartbeat.body = standin.HeartbeatPath, standin.JobBody(1, 60<<10)
	for _, test := range []struct {
		name   string
		target func(*site) (host *siteHost, port string)
		crowd  crowd
	}{
		{"callers_silent", callers, tcpCrowd(850, sendText(""), "")},
		{"callers_heads", callers, headCrowd(90, jobPath)},
		{"callers_request_lines", callers, tcpCrowd(90, sendRepeated("POST /", "xxxxxxxx", endlessBytes), "xxxxxxxx")},
		{"callers_empty_lines", callers, emptyLineCrowd(60)},
		{"callers_bodies_whole", callers, whole.crowd(300)},
		{"callers_bodies_in_pieces", callers, inPieces.crowd(300)},
		{"callers_large_chunks", callers, largeChunks.crowd(300)},
		{"callers_small_chunks", callers, smallChunks.crowd(300)},
		{"callers_task_counts", callers, taskCounts.crowd(4)},
		{"callers_http2_bodies", callers, http2BodyCrowd(75, whole)},
		{"operators_heads", operators, headCrowd(90, "/v1/config")},
		{"operators_bodies", operators, edit.crowd(300)},
		{"peers_http1_heads", peers, headCrowd(90, "/")},
		{"peers_http1_bodies", peers, joinSending(legalBodyBytes).crowd(300)},
		{"peers_http2_heads", peers, http2HeadCrowd(90)},
		{"peers_http2_bodies", peers, http2BodyCrowd(75, joinSending(legalBodyBytes))},
		{"peers_http2_streams", peers, http2StreamCrowd(6, 4000, wirepb.EntryPeerJoinProcedure, "application/proto")},
		{"readiness_heads", readiness, headCrowd(90, standin.ReadinessPath)},
		{"readiness_bodies", readiness, probe.crowd(300)},
		{"endpoints_heads", endpoints, headCrowd(90, standin.HeartbeatPath+"x")},
		{"endpoints_bodies", endpoints, heartbeat.crowd(600)},
		{"links_http1_heads", links, headCrowd(90, "/debug/vars")},
		{"links_http1_bodies", links, linkSending(legalBodyBytes).crowd(300)},
		{"links_http2_heads", links, http2HeadCrowd(90)},
		{"links_http2_bodies", links, http2BodyCrowd(75, linkSending(legalBodyBytes))},
		{"links_http2_streams", links, http2StreamCrowd(6, 4000, wirepb.AgentLinkLinkProcedure, "application/connect+proto")},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &site{
				t: t, runTime: shortRunTime, resubmitDelay: siteResubmitDelay, store: standin.NewStore(), program: program,
				limits: hostLimits{memoryMB: hostileMemoryMB, maxDescriptors: hostileMaxDescriptors},
			}
			s.start(1, 1)
			host, port := test.target(s)
			s.checkUnderCrowd(host, host.ip+":"+port, test.crowd)
		})
	}
}

// buildProgram builds the savorystair command without the race detector and
// returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "savorystair")
	if output, err := exec.CommandContext(t.Context(), "go", "build", "-race=false", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build the savorystair command: %v\n%s", err, output)
	}
	return program
}

// checkUnderCrowd sends a crowd to an address of a host. It reports processes
// that exit or need more memory than their host has, too many descriptors of the
// process on the host, and ordinary jobs of which none is completed.
func (s *site) checkUnderCrowd(target *siteHost, address string, c crowd) {
	t := s.t
	t.Helper()
	calmMB := peakMemoryMB(target)
	running := c.start(t.Context(), address)
	defer running.stop()
	stopWatch := make(chan struct{})
	mostDescriptors := 0
	var watch sync.WaitGroup
	watch.Go(func() {
		for ticks := time.Tick(20 * time.Millisecond); ; {
			select {
			case <-stopWatch:
				return
			case <-ticks:
				mostDescriptors = max(mostDescriptors, countDescriptors(target))
			}
		}
	})
	running.settled.Wait()
	answered := make(chan error, 1)
	go func() { answered <- s.completeOrdinaryJob(hostileAnswerTimeout) }()
	time.Sleep(hostileHoldTime)
	waitIdle(target, hostileReadTimeout, func() bool { return running.connections.Load() > int64(c.clients) })
	heldMB := peakMemoryMB(target)
	s.checkAlive("while the connections are held")
	close(stopWatch)
	watch.Wait()
	running.stop()
	if err := <-answered; err != nil {
		t.Errorf("no ordinary job was completed within %s: %v", hostileAnswerTimeout, err)
	}
	s.checkAlive("after the connections are closed")
	t.Logf("%s: peak memory %.0f MB before, %.0f MB while %d clients held their connections; at most %d descriptors; %d connections were opened",
		target.id, calmMB, heldMB, c.clients, mostDescriptors, running.connections.Load())
	for _, h := range s.hosts {
		if peakMB := peakMemoryMB(h); peakMB > hostileMemoryMB {
			t.Errorf("%s: peak memory %.0f MB, want at most %d MB", h.id, peakMB, hostileMemoryMB)
		}
	}
	if mostDescriptors > hostileDescriptorBound {
		t.Errorf("%s: %d open descriptors, want at most %d", target.id, mostDescriptors, hostileDescriptorBound)
	}
}

// waitIdle waits until the process on h uses less than a tenth of a core, and
// thus has read what it is going to read, for at most timeout. It returns early
// when stop returns true.
func waitIdle(h *siteHost, timeout time.Duration, stop func() bool) {
	const interval = 200 * time.Millisecond
	used := cpuTime(h)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && !stop(); {
		time.Sleep(interval)
		before := used
		if used = cpuTime(h); used-before < interval/10 {
			return
		}
	}
}

// cpuTime returns the CPU time that the process on h has used, or 0 if it has
// exited.
func cpuTime(h *siteHost) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	// The fields after the command, which ends with a parenthesis, begin with
	// field 3; user and system time are fields 14 and 15, in hundredths of a
	// second.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	var user, system time.Duration
	// A text that can't be parsed leaves 0.
	_, _ = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	return (user + system) * 10 * time.Millisecond
}

// checkAlive reports processes that have exited. They are not restarted.
func (s *site) checkAlive(when string) {
	s.t.Helper()
	for _, h := range s.hosts {
		select {
		case <-h.exited:
			s.t.Errorf("%s exited %s: %v", h.id, when, h.exitErr)
		default:
		}
	}
}

// completeOrdinaryJob submits jobs over new connections until one is completed,
// and returns the last failure if none is within timeout. It stops at an answer
// that no limit explains.
func (s *site) completeOrdinaryJob(timeout time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); ; time.Sleep(100 * time.Millisecond) {
		answer, err := standin.Submit(s.t.Context(), client, s.entries[0].ip+":8161", siteRoute, s.newJob(), siteAnswerTimeout)
		switch {
		case err == nil && answer.Completed():
			return nil
		case err == nil && !answer.Refused && answer.Status != http.StatusGatewayTimeout:
			return fmt.Errorf("status %d, state %q", answer.Status, answer.State)
		case time.Now().After(deadline):
			return fmt.Errorf("last attempt: status %d, error %v", answer.Status, err)
		}
	}
}

// peakMemoryMB returns the peak of the resident memory of the process on h, or 0
// if the process has exited.
func peakMemoryMB(h *siteHost) float64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	kilobytes := 0.0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "VmHWM:"); found {
			// A line that can't be parsed leaves 0.
			_, _ = fmt.Sscanf(value, "%f kB", &kilobytes)
		}
	}
	return kilobytes / 1024
}

// countDescriptors returns the number of open descriptors of the process on h,
// or 0 if the process has exited.
func countDescriptors(h *siteHost) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// Package endpoint is a stand-in for an endpoint: it announces itself to an
// agent and runs tasks whose kind determines their run time and outcome.
//
//   - "echo" returns the payload at once.
//   - "work", and any kind that begins with "work-", runs for the duration with
//     which the payload begins, such as "20ms text", and returns the payload.
//   - "fail" fails after its start.
//   - "refuse" is refused with the header that states that it did not run.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

// maxPayloadBytes is the maximum size of a task's payload. Longer ones are
// truncated.
const maxPayloadBytes = 1 << 20

// Options configure an endpoint. A Speed of 0 means 1; at speed 2 tasks take half
// the time.
type Options struct {
	Address      string // to listen on
	AgentAddress string // address of the agent to announce itself to
	Service      string
	Slots        int
	Connections  int
	Speed        float64
	// FailAll makes every task fail after its start.
	FailAll bool
}

// StartedTask records one task that was started.
type StartedTask struct {
	Team string    `json:"team"`
	Job  string    `json:"job"`
	Task string    `json:"task"`
	At   time.Time `json:"at"`
}

// Endpoint is a running endpoint.
type Endpoint struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	client   http.Client
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu              sync.Mutex
	running         int
	peakRunning     int
	starts          []StartedTask
	refuseOverSlots bool
	finishedWork    []workInterval
}

// workInterval is the interval in which one task ran, and its run time at speed 1.
type workInterval struct {
	start   time.Time
	end     time.Time
	runTime time.Duration
}

// Start starts an endpoint, which announces itself repeatedly until Leave or Close.
func Start(o Options) (*Endpoint, error) {
	if o.Speed == 0 {
		o.Speed = 1
	}
	ln, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for tasks: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{opts: o, listener: ln, cancel: cancel}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks", e.handleTask)
	mux.HandleFunc("GET /v1/starts", e.handleStarts)
	e.server = &http.Server{Handler: mux}
	e.done.Go(func() {
		// Serve returns when the server is closed.
		_ = e.server.Serve(ln)
	})
	e.done.Go(func() { e.announceRepeatedly(ctx) })
	return e, nil
}

// Address returns the address that tasks are sent to.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Starts returns every task that was started, in the order of the starts.
func (e *Endpoint) Starts() []StartedTask {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]StartedTask(nil), e.starts...)
}

// PeakRunning returns the highest number of tasks that ran at the same time.
func (e *Endpoint) PeakRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peakRunning
}

// Running returns the number of running tasks.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// RefuseOverSlots makes the endpoint refuse tasks while all slots are in use,
// with the header that states that they did not run.
func (e *Endpoint) RefuseOverSlots() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuseOverSlots = true
}

// WorkDone returns the total run time, at speed 1 and between two times, of the
// tasks of kind "work" or "work-..." that succeeded. Of a task that ran only partly
// in that period it counts that part.
func (e *Endpoint) WorkDone(from, to time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := time.Duration(0)
	for _, w := range e.finishedWork {
		start, end := later(w.start, from), earlier(w.end, to)
		if end.After(start) {
			total += time.Duration(float64(w.runTime) * float64(end.Sub(start)) / float64(w.end.Sub(w.start)))
		}
	}
	return total
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Leave stops the announcements and sends the agent a request to remove the
// endpoint.
func (e *Endpoint) Leave(ctx context.Context) error {
	e.cancel()
	return e.postAnnouncement(ctx, "/v1/leave")
}

// Close ends the endpoint without waiting for running tasks.
func (e *Endpoint) Close() {
	e.cancel()
	// Errors on closing the server need no handling.
	_ = e.server.Close()
	e.done.Wait()
	e.client.CloseIdleConnections()
}

func (e *Endpoint) announceRepeatedly(ctx context.Context) {
	ticker := time.NewTicker(endpoint.HeartbeatInterval)
	defer ticker.Stop()
	for {
		// A failed announcement needs no handling: the next one follows at the next
		// tick.
		_ = e.postAnnouncement(ctx, "/v1/announce")
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Endpoint) postAnnouncement(ctx context.Context, path string) error {
	body, err := json.Marshal(endpoint.Announcement{
		Service:     e.opts.Service,
		Address:     e.Address(),
		Slots:       e.opts.Slots,
		Connections: e.opts.Connections,
	})
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, endpoint.HeartbeatInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.opts.AgentAddress+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create announcement request: %w", err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return fmt.Errorf("send announcement: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("announcement rejected with status %d", resp.StatusCode)
	}
	return nil
}

func (e *Endpoint) handleTask(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxPayloadBytes))
	if err != nil {
		return
	}
	kind := r.Header.Get(endpoint.HeaderKind)
	if kind == "refuse" || e.overSlots() {
		w.Header().Set(endpoint.HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	e.recordStart(r)
	defer e.recordEnd()
	if kind == "fail" || e.opts.FailAll {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if kind == "work" || strings.HasPrefix(kind, "work-") {
		e.doWork(r.Context(), payload)
	}
	// The agent may have disconnected, which needs no handling.
	_, _ = w.Write(payload)
}

// overSlots reports whether a task has to be refused because all slots are in
// use.
func (e *Endpoint) overSlots() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refuseOverSlots && e.running >= e.opts.Slots
}

// doWork runs for the duration in the payload, divided by the speed, and records
// the work if it was not interrupted.
func (e *Endpoint) doWork(ctx context.Context, payload []byte) {
	word, _, _ := strings.Cut(string(payload), " ")
	d, err := time.ParseDuration(word)
	if err != nil {
		return
	}
	start := time.Now()
	if pause.For(ctx, time.Duration(float64(d)/e.opts.Speed)) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishedWork = append(e.finishedWork, workInterval{start: start, end: time.Now(), runTime: d})
}

func (e *Endpoint) recordStart(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.peakRunning = max(e.peakRunning, e.running)
	e.starts = append(e.starts, StartedTask{
		Team: r.Header.Get(endpoint.HeaderTeam),
		Job:  r.Header.Get(endpoint.HeaderJob),
		Task: r.Header.Get(endpoint.HeaderTask),
		At:   time.Now(),
	})
}

func (e *Endpoint) recordEnd() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Endpoint) handleStarts(w http.ResponseWriter, _ *http.Request) {
	starts := e.Starts()
	sort.SliceStable(starts, func(i, j int) bool { return starts[i].At.Before(starts[j].At) })
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected, which needs no handling.
	_ = json.NewEncoder(w).Encode(starts)
}

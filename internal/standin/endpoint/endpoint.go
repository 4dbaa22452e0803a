// Package endpoint is a stand-in for an endpoint: it announces itself to an
// agent, runs tasks of known content within its slots, and fails on demand.
//
// A task of kind "echo" returns its payload. A task of kind "work", or of one
// that starts with "work-", starts its payload with a duration, such as "20ms text", takes that long, and returns
// the payload. A task of kind "fail" fails after its start, and one of kind
// "refuse" is refused with the statement that it did not run.
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

// maxPayload bounds a task's payload, in bytes.
const maxPayload = 1 << 20

// Options describe an endpoint. The zero value of Speed counts as 1; an
// endpoint of speed 2 takes half the time.
type Options struct {
	Address     string // to listen on
	Agent       string // where to announce itself
	Service     string
	Slots       int
	Connections int
	Speed       float64
	// FailAll makes every task fail after its start.
	FailAll bool
}

// Start is one started task.
type Start struct {
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

	mu      sync.Mutex
	running int
	peak    int
	starts  []Start
	strict  bool
	work    []piece
}

// piece is the work of one task that ended: its run time at speed 1.
type piece struct {
	from time.Time
	to   time.Time
	work time.Duration
}

// Run starts an endpoint that announces itself until Leave or Close.
func Run(o Options) (*Endpoint, error) {
	if o.Speed == 0 {
		o.Speed = 1
	}
	ln, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{opts: o, listener: ln, cancel: cancel}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks", e.task)
	mux.HandleFunc("GET /v1/starts", e.list)
	e.server = &http.Server{Handler: mux}
	e.done.Go(func() {
		// Serve returns when the server is closed.
		_ = e.server.Serve(ln)
	})
	e.done.Go(func() { e.announce(ctx) })
	return e, nil
}

// Address returns the address that tasks are sent to.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Starts returns every task that was started, in order.
func (e *Endpoint) Starts() []Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Start(nil), e.starts...)
}

// Peak returns the most tasks that ran at once.
func (e *Endpoint) Peak() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peak
}

// Running returns how many tasks run.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// RefuseOverSlots makes the endpoint refuse tasks beyond its slots, as not run.
func (e *Endpoint) RefuseOverSlots() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.strict = true
}

// WorkDone returns the work of tasks that succeeded, in run time at speed 1, as
// far as it was done between two times.
func (e *Endpoint) WorkDone(from, to time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := time.Duration(0)
	for _, p := range e.work {
		start, end := later(p.from, from), earlier(p.to, to)
		if end.After(start) {
			total += time.Duration(float64(p.work) * float64(end.Sub(start)) / float64(p.to.Sub(p.from)))
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

// Leave tells the agent that the endpoint takes no more work.
func (e *Endpoint) Leave(ctx context.Context) error {
	e.cancel()
	return e.post(ctx, "/v1/leave")
}

// Close ends the endpoint at once.
func (e *Endpoint) Close() {
	e.cancel()
	// A closed server has nothing left to report.
	_ = e.server.Close()
	e.done.Wait()
	e.client.CloseIdleConnections()
}

func (e *Endpoint) announce(ctx context.Context) {
	ticker := time.NewTicker(endpoint.HeartbeatInterval)
	defer ticker.Stop()
	for {
		// A failed announcement is repeated with the next tick.
		_ = e.post(ctx, "/v1/announce")
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Endpoint) post(ctx context.Context, path string) error {
	body, err := json.Marshal(endpoint.Announcement{
		Service:     e.opts.Service,
		Address:     e.Address(),
		Slots:       e.opts.Slots,
		Connections: e.opts.Connections,
	})
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, endpoint.HeartbeatInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.opts.Agent+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("announcement: status %d", resp.StatusCode)
	}
	return nil
}

func (e *Endpoint) task(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxPayload))
	if err != nil {
		return
	}
	kind := r.Header.Get(endpoint.HeaderKind)
	if kind == "refuse" || e.full() {
		w.Header().Set(endpoint.HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	e.started(r)
	defer e.ended()
	if kind == "fail" || e.opts.FailAll {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if kind == "work" || strings.HasPrefix(kind, "work-") {
		e.doWork(r.Context(), payload)
	}
	// The agent may have gone.
	_, _ = w.Write(payload)
}

// full reports whether a task is to be refused for want of a slot.
func (e *Endpoint) full() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.strict && e.running >= e.opts.Slots
}

// doWork takes the time that the payload names.
func (e *Endpoint) doWork(ctx context.Context, payload []byte) {
	word, _, _ := strings.Cut(string(payload), " ")
	d, err := time.ParseDuration(word)
	if err != nil {
		return
	}
	began := time.Now()
	if pause.For(ctx, time.Duration(float64(d)/e.opts.Speed)) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = append(e.work, piece{from: began, to: time.Now(), work: d})
}

func (e *Endpoint) started(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.peak = max(e.peak, e.running)
	e.starts = append(e.starts, Start{
		Team: r.Header.Get(endpoint.HeaderTeam),
		Job:  r.Header.Get(endpoint.HeaderJob),
		Task: r.Header.Get(endpoint.HeaderTask),
		At:   time.Now(),
	})
}

func (e *Endpoint) ended() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Endpoint) list(w http.ResponseWriter, _ *http.Request) {
	starts := e.Starts()
	sort.SliceStable(starts, func(i, j int) bool { return starts[i].At.Before(starts[j].At) })
	w.Header().Set("Content-Type", "application/json")
	// The reader may have gone.
	_ = json.NewEncoder(w).Encode(starts)
}

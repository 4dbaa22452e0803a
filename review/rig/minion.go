package rig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxHold is the longest time for which a minion grants a lease.
	maxHold = time.Second
	// leaseCheckInterval is how often a minion looks for runs whose lease has expired.
	leaseCheckInterval = time.Millisecond
	// heartbeatTimeout is how long a minion waits for the response to a heartbeat.
	heartbeatTimeout = time.Second
	// maxListedEnds is how many ends a minion lists in one response.
	maxListedEnds = 500
)

// Minion is a stand-in for a minion of the platform, in one life. It keeps a lease, the
// highest fencing token and the ends of its runs, and rejects what exceeds its capacity.
type Minion struct {
	ID, Service, Zone string
	Labels            []string
	CPUMilli          int
	HeartbeatInterval time.Duration
	// AgentAddress is the control address on the minion's machine.
	AgentAddress string
	// Advertised is the address in heartbeats, if calls come through a proxy.
	Advertised string
	// FirstHeartbeat is when the first heartbeat is sent after the start.
	FirstHeartbeat time.Duration
	// RunTime is how long each task takes.
	RunTime time.Duration
	// NeedMilli returns what a task needs of the capacity.
	NeedMilli func(task string) int
	// OnStart is called when a task has started. The minion's lock is held.
	OnStart func(m *Minion, task string, run uint32)
	Record  *Record

	listener net.Listener
	server   *http.Server
	started  time.Time
	stopped  chan struct{}
	loops    sync.WaitGroup

	mu       sync.Mutex
	sequence int64
	leaseEnd int64 // reading of the clock, in milliseconds
	fence    uint64
	running  map[string]*minionRun // by task
	highest  map[string]uint32     // highest run that was stopped or has ended, by task
	ends     [][]any
	lastEnd  uint64
	changed  chan struct{} // closed at the next end
}

// minionRun is a run that has not ended.
type minionRun struct {
	number uint32
	began  time.Time
	need   int
	timer  *time.Timer
}

// Start makes the minion listen and send heartbeats until Close.
func (m *Minion) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m.listener, m.started, m.stopped = listener, time.Now(), make(chan struct{})
	m.running, m.highest, m.changed = map[string]*minionRun{}, map[string]uint32{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /savorystair/run-start", m.handler(m.start))
	mux.HandleFunc("POST /savorystair/run-stop", m.handler(m.stop))
	mux.HandleFunc("POST /savorystair/hold", m.handler(m.hold))
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	m.loops.Go(func() { _ = m.server.Serve(listener) })
	m.loops.Go(m.sendHeartbeats)
	m.loops.Go(m.expireLeases)
	return nil
}

// Close ends the minion and all its runs.
func (m *Minion) Close() {
	close(m.stopped)
	// The connections are discarded, so the error does not matter.
	_ = m.server.Close()
	m.loops.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.running {
		r.timer.Stop()
	}
}

// Address returns the address at which the minion accepts calls.
func (m *Minion) Address() string { return m.listener.Addr().String() }

// clock returns a reading of the minion's steady clock, in milliseconds.
func (m *Minion) clock() int64 { return 1000 + time.Since(m.started).Milliseconds() }

// order holds the fields of all calls.
type order struct {
	Task        string `json:"task"`
	Run         uint32 `json:"run_id"`
	UntilMS     int64  `json:"until_ms"`
	Fence       uint64 `json:"fencing_token"`
	LastSeenEnd uint64 `json:"last_seen"`
	WaitMS      int64  `json:"wait_ms"`
}

// handler returns a handler that carries out one kind of call.
func (m *Minion) handler(carryOut func(order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != m.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		m.mu.Lock()
		status, body := http.StatusConflict, m.body("fence")
		if o.Fence >= m.fence {
			m.fence = o.Fence
			status, body = carryOut(o)
		}
		if ends, ok := body["ended"].([][]any); ok && len(ends) == 0 && o.WaitMS > 0 {
			body = m.awaitEnd(r, o)
		}
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// An error means that the agent has disconnected.
		_ = json.NewEncoder(w).Encode(body)
	}
}

// body returns the body of a response, with the reason of a rejection.
func (m *Minion) body(reason string) map[string]any {
	body := map[string]any{"clock_ms": m.clock(), "born": m.started.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	return body
}

// awaitEnd returns the listing after the next end, or once the wait of the call has
// passed. The caller holds the lock, which is released meanwhile.
func (m *Minion) awaitEnd(r *http.Request, o order) map[string]any {
	changed := m.changed
	m.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
	case <-r.Context().Done():
	}
	m.mu.Lock()
	return m.listing()
}

func (m *Minion) extendLease(untilMS int64) {
	m.leaseEnd = max(m.leaseEnd, min(untilMS, m.clock()+maxHold.Milliseconds()))
}

func (m *Minion) start(o order) (int, map[string]any) {
	if o.UntilMS <= m.clock() {
		return http.StatusConflict, m.body("late")
	}
	m.extendLease(o.UntilMS)
	active := m.running[o.Task]
	switch {
	case active != nil && active.number == o.Run:
		return http.StatusOK, m.body("")
	case active != nil && active.number > o.Run, o.Run <= m.highest[o.Task]:
		return http.StatusConflict, m.body("old")
	}
	need, used := m.NeedMilli(o.Task), 0
	for _, r := range m.running {
		used += r.need
	}
	if used+need > m.CPUMilli {
		return http.StatusConflict, m.body("room")
	}
	r := &minionRun{number: o.Run, began: time.Now(), need: need}
	m.running[o.Task] = r
	r.timer = time.AfterFunc(m.RunTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(o.Task, r, "done")
	})
	m.Record.Line("start", "%s run %d on %s (%v)", o.Task, o.Run, m.ID, m.Labels)
	m.OnStart(m, o.Task, o.Run)
	return http.StatusOK, m.body("")
}

// end records the end of a run, unless it has ended before. The caller holds the lock.
func (m *Minion) end(task string, r *minionRun, how string) {
	if m.running[task] != r {
		return
	}
	r.timer.Stop()
	delete(m.running, task)
	m.highest[task] = max(m.highest[task], r.number)
	m.lastEnd++
	m.ends = append(m.ends, []any{m.lastEnd, task, r.number, how, ""})
	close(m.changed)
	m.changed = make(chan struct{})
	m.Record.Line("end", "%s run %d on %s: %s", task, r.number, m.ID, how)
}

func (m *Minion) stop(o order) (int, map[string]any) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.running[o.Task]; r != nil && r.number <= o.Run {
		m.end(o.Task, r, "stopped")
	}
	return http.StatusOK, m.body("")
}

func (m *Minion) hold(o order) (int, map[string]any) {
	m.extendLease(o.UntilMS)
	for len(m.ends) > 0 && m.ends[0][0].(uint64) <= o.LastSeenEnd {
		m.ends = m.ends[1:]
	}
	return http.StatusOK, m.listing()
}

func (m *Minion) listing() map[string]any {
	running := [][]any{}
	for task, r := range m.running {
		percent := min(99, int(100*time.Since(r.began)/m.RunTime))
		running = append(running, []any{task, r.number, "", percent, r.need})
	}
	body := m.body("")
	body["running"] = running
	body["ended"] = append([][]any{}, m.ends[:min(len(m.ends), maxListedEnds)]...)
	return body
}

// expireLeases ends all runs once the lease has expired.
func (m *Minion) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-m.stopped:
			return
		}
		m.mu.Lock()
		if m.clock() >= m.leaseEnd {
			for task, r := range m.running {
				m.end(task, r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// Heartbeat returns the fields of the minion's next heartbeat.
func (m *Minion) Heartbeat() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	return map[string]any{
		"service": m.Service, "address": cmp.Or(m.Advertised, m.Address()), "zone": m.Zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": m.CPUMilli, "mem_mb": 32768, "gpus": 0}, "labels": m.Labels,
		"clock_ms": m.clock(), "sequence": m.sequence, "born": m.started.UnixMilli(),
	}
}

// SendHeartbeat sends a heartbeat with the given fields to the control address of a
// machine, under the id of a minion, and returns the status of the response.
func SendHeartbeat(address, id string, fields map[string]any) (int, error) {
	body, err := json.Marshal(fields)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/savorystair/instances/%s", address, id), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

func (m *Minion) sendHeartbeats() {
	select {
	case <-time.After(m.FirstHeartbeat):
	case <-m.stopped:
		return
	}
	for {
		// A lost heartbeat is not repeated; the next one follows.
		_, _ = SendHeartbeat(m.AgentAddress, m.ID, m.Heartbeat())
		select {
		case <-time.After(m.HeartbeatInterval):
		case <-m.stopped:
			return
		}
	}
}

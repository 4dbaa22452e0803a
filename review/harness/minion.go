package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease of a minion (max_hold_ms).
	maxHold = time.Second
	// heartbeatInterval is the time between two heartbeats (heartbeat_ms).
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout bounds the wait for the acknowledgement of a heartbeat.
	heartbeatTimeout = time.Second
	// defaultRunTime is the run time of a task whose spec names none.
	defaultRunTime = 200 * time.Millisecond
)

// minion is a stand-in for a minion of the platform. A task runs for the time that its
// spec names, such as "ms=900".
type minion struct {
	id, service, zone, agent string
	capacityMilli            int
	record                   *record
	born                     time.Time
	listener                 net.Listener
	server                   *http.Server
	cancel                   context.CancelFunc
	heartbeats               sync.WaitGroup

	mu        sync.Mutex
	lease     time.Duration // end of the lease on the minion's clock
	fence     uint64        // highest fencing token
	running   map[string]*run
	highest   map[string]uint32 // highest run that was stopped or has ended, by task
	ends      []end
	lastEnd   uint64
	endSignal chan struct{} // closed at each end
	sequence  int
}

// run is a task that is being run.
type run struct {
	number  uint32
	length  time.Duration
	started time.Time
	timer   *time.Timer
}

// end is an entry of the list of ended runs.
type end struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// order is the body of every call to a minion.
type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run_id"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// startMinion starts a minion that registers with the agent at the given address.
func startMinion(id, service, zone, agent string, r *record) (*minion, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("minion %s: %w", id, err)
	}
	m := &minion{
		id: id, service: service, zone: zone, agent: agent, capacityMilli: 16000, record: r, born: time.Now(), listener: listener,
		running: map[string]*run{}, highest: map[string]uint32{}, endSignal: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /savorystair/run-start", m.handle(m.start))
	mux.HandleFunc("POST /savorystair/run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /savorystair/hold", m.handle(m.hold))
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = m.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.heartbeats.Go(func() { m.sendHeartbeats(ctx) })
	go m.watchLease(ctx)
	return m, nil
}

// close ends the minion without notice.
func (m *minion) close() {
	m.cancel()
	m.heartbeats.Wait()
	_ = m.server.Close()
}

// clock returns the reading of the minion's clock, which starts at one second.
func (m *minion) clock() time.Duration { return time.Since(m.born) + time.Second }

// sendHeartbeats registers the minion until ctx ends.
func (m *minion) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout}
	for ctx.Err() == nil {
		wait := heartbeatInterval
		if status := m.sendHeartbeat(ctx, client); status != http.StatusOK {
			wait = heartbeatInterval / 10
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (m *minion) sendHeartbeat(ctx context.Context, client *http.Client) int {
	m.mu.Lock()
	m.sequence++
	body := map[string]any{
		"service": m.service, "address": m.listener.Addr().String(), "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": map[string]int{"cpu": m.capacityMilli, "mem_mb": 32768, "gpus": 0}, "labels": []string{"a", "r1-3"},
		"clock_ms": m.clock().Milliseconds(), "sequence": m.sequence, "born": m.born.UnixMilli(),
	}
	m.mu.Unlock()
	text, _ := json.Marshal(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+m.agent+"/savorystair/instances/"+m.id, strings.NewReader(string(text)))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// handle decodes an order, carries it out and writes the answer.
func (m *minion) handle(carryOut func(context.Context, *order) (status int, answer map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		status, answer := http.StatusBadRequest, map[string]any{}
		if err := json.NewDecoder(r.Body).Decode(&o); err == nil {
			status, answer = carryOut(r.Context(), &o)
		}
		answer["clock_ms"], answer["born"] = m.clock().Milliseconds(), m.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func reject(reason string) (status int, answer map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// accept checks the fencing token and extends the lease. The caller holds the lock.
func (m *minion) accept(o *order) bool {
	m.expire()
	if o.Fence < m.fence {
		return false
	}
	m.fence = o.Fence
	m.lease = max(m.lease, min(time.Duration(o.UntilMS)*time.Millisecond, m.clock()+maxHold))
	return true
}

func (m *minion) start(_ context.Context, o *order) (status int, answer map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.accept(o):
		return reject("fence")
	case time.Duration(o.UntilMS)*time.Millisecond <= m.clock():
		return reject("late")
	case m.running[o.Task] != nil && m.running[o.Task].number == o.Run:
		return http.StatusOK, map[string]any{}
	case o.Run <= m.highest[o.Task]:
		return reject("old")
	case m.running[o.Task] != nil:
		return reject("room")
	}
	r := &run{number: o.Run, length: runTimeOf(o.Spec), started: time.Now()}
	m.running[o.Task] = r
	r.timer = time.AfterFunc(r.length, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.expire()
		if m.running[o.Task] == r {
			m.finish(o.Task, "done")
		}
	})
	m.record.add("start", m.id, o.Task, o.Run)
	return http.StatusOK, map[string]any{}
}

// runTimeOf returns the run time that a spec names.
func runTimeOf(spec string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(spec, "ms=%d", &ms); err != nil {
		return defaultRunTime
	}
	return time.Duration(ms) * time.Millisecond
}

func (m *minion) stop(_ context.Context, o *order) (status int, answer map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accept(&order{Fence: o.Fence}) {
		return reject("fence")
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.running[o.Task]; r != nil && r.number <= o.Run {
		m.finish(o.Task, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (m *minion) hold(ctx context.Context, o *order) (status int, answer map[string]any) {
	m.mu.Lock()
	if !m.accept(o) {
		m.mu.Unlock()
		return reject("fence")
	}
	m.forget(o.LastSeen)
	signal, wait := m.endSignal, len(m.ends) == 0 && o.WaitMS > 0
	m.mu.Unlock()
	if wait {
		select {
		case <-signal:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	running, ended := [][]any{}, [][]any{}
	for task, r := range m.running {
		running = append(running, []any{task, r.number, "", min(99, int(100*time.Since(r.started)/r.length)), 1000})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// forget removes the ends up to a number. The caller holds the lock, as below.
func (m *minion) forget(lastSeen uint64) {
	for len(m.ends) > 0 && m.ends[0].number <= lastSeen {
		m.ends = m.ends[1:]
	}
}

// finish ends a run.
func (m *minion) finish(task, how string) {
	r := m.running[task]
	r.timer.Stop()
	delete(m.running, task)
	m.highest[task] = max(m.highest[task], r.number)
	m.lastEnd++
	m.ends = append(m.ends, end{m.lastEnd, task, r.number, how})
	m.record.add("end", m.id, task, r.number, how)
	close(m.endSignal)
	m.endSignal = make(chan struct{})
}

// expire ends all runs if the lease has ended.
func (m *minion) expire() {
	if m.clock() <= m.lease {
		return
	}
	for task := range m.running {
		m.finish(task, "lapsed")
	}
}

// watchLease ends the runs with the lease until ctx ends.
func (m *minion) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		m.expire()
		m.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

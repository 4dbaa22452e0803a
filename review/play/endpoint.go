package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Lease and capacity of an endpoint.
const (
	capacityMilli = 16000
	maxEnds       = 500
	pollInterval  = 2 * time.Millisecond
	cancelBound   = 3 * time.Second       // cancel_ms
	stopBound     = 50 * time.Millisecond // stop_timeout_ms
)

// endpoint is a stand-in for an endpoint of the platform. It guards its capacity, runs
// tasks under a lease on its own clock, and keeps the highest fencing token.
type endpoint struct {
	site *site
	host *host
	id   string

	mu       sync.Mutex
	labels   []string
	born     time.Time
	server   *http.Server
	stop     context.CancelFunc
	beats    sync.WaitGroup
	fence    uint64
	leaseEnd int64 // ms on its own clock
	runs     map[string]*activeRun
	highest  map[string]uint32 // highest run that was stopped or has ended, by task
	ends     [][]any
	lastEnd  uint64
}

// activeRun is a run that is at work.
type activeRun struct {
	number uint32
	began  time.Time
	work   time.Duration
	cpu    int
}

// runRequest has the fields of all calls of an agent.
type runRequest struct {
	Task     string `json:"task"`
	Number   uint32 `json:"run_id"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// boot starts the endpoint without any state, at its usual address.
func (e *endpoint) boot(labels []string) error {
	ln, err := net.Listen("tcp", e.host.addresses["app"])
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /savorystair/run-start", e.call(e.start))
	mux.HandleFunc("POST /savorystair/run-stop", e.call(e.stopRun))
	mux.HandleFunc("POST /savorystair/hold", e.call(e.hold))
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	e.labels, e.born, e.stop = labels, time.Now(), cancel
	e.fence, e.leaseEnd, e.ends, e.lastEnd = 0, 0, nil, 0
	e.runs, e.highest = map[string]*activeRun{}, map[string]uint32{}
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	server := e.server
	e.mu.Unlock()
	e.site.rec.add("endpoint %s: boots with labels %v", e.id, labels)
	go server.Serve(ln)
	e.beats.Go(func() { e.sendHeartbeats(ctx) })
	return nil
}

// crash ends the endpoint with all its runs, without a word.
func (e *endpoint) crash() {
	e.mu.Lock()
	server, stop := e.server, e.stop
	e.server, e.runs = nil, nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	e.site.rec.add("endpoint %s: crashes", e.id)
	stop()
	server.Close()
	e.beats.Wait()
}

// sendHeartbeats registers at the agent on the same host until ctx ends.
func (e *endpoint) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		e.mu.Lock()
		body, err := json.Marshal(map[string]any{
			"service": serviceName, "address": e.host.addresses["app"], "zone": e.host.zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_left_ms": 0, "capacity": map[string]int{"cpu": capacityMilli, "mem_mb": 32768, "gpus": 0},
			"labels": e.labels, "clock_ms": e.clock(), "sequence": sequence, "born": e.born.UnixMilli(),
		})
		e.mu.Unlock()
		if err != nil {
			return
		}
		url := "http://" + e.host.addresses["endpoint"] + "/savorystair/instances/" + e.id
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(string(body)))
		if err != nil {
			return
		}
		req.Header.Set("Content-Type", "application/json")
		if resp, err := client.Do(req); err == nil {
			e.site.rec.add("endpoint %s: heartbeat %d is acknowledged with %d", e.id, sequence, resp.StatusCode)
			resp.Body.Close()
		}
		select {
		case <-time.After(heartbeatMS * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// clock returns a reading of the endpoint's clock, in ms. The caller holds the lock.
func (e *endpoint) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// call returns the handler of a call, which checks the boot that it is meant for.
func (e *endpoint) call(f func(runRequest) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request runRequest
		if r.Header.Get("X-Expect-Instance") != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		crashed := e.server == nil
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		status, body := f(request)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// An error means that the agent has gone.
		_ = json.NewEncoder(w).Encode(body)
	}
}

// accept raises the fence and the lease by a call. It returns false if the call has a
// lower fence. The caller holds the lock.
func (e *endpoint) accept(r runRequest) bool {
	if r.Fence < e.fence {
		return false
	}
	e.fence = r.Fence
	e.expire()
	e.leaseEnd = max(e.leaseEnd, min(r.UntilMS, e.clock()+maxHoldMS))
	return true
}

func (e *endpoint) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli(), "reason": reason}
}

func (e *endpoint) done() (int, map[string]any) {
	return http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli()}
}

// start starts a run.
func (e *endpoint) start(r runRequest) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accept(r) {
		return e.refuse("fence")
	}
	if run := e.runs[r.Task]; run != nil && run.number == r.Number {
		return e.done()
	}
	id, _, _ := strings.Cut(r.Task, ".")
	e.site.mu.Lock()
	job, known := e.site.jobs[id]
	e.site.mu.Unlock()
	used := 0
	for _, run := range e.runs {
		used += run.cpu
	}
	switch {
	case r.Number <= e.highest[r.Task]:
		return e.refuse("old")
	case r.UntilMS <= e.clock():
		return e.refuse("late")
	case used+job.cpuMilli > capacityMilli || e.runs[r.Task] != nil:
		return e.refuse("room")
	}
	e.runs[r.Task] = &activeRun{number: r.Number, began: time.Now(), work: job.work, cpu: job.cpuMilli}
	e.site.rec.add("task %s: run %d starts on %s, labels %v, fence %d", r.Task, r.Number, e.id, e.labels, r.Fence)
	if !known {
		e.site.rec.addBreak("task %s: nobody submitted it", r.Task)
	}
	if since := e.site.sinceCancelled(r.Task); since > cancelBound {
		e.site.rec.addBreak("task %s: starts %s after the cancelling of its job was acknowledged", r.Task, since)
	}
	if job.label != "" && !slices.Contains(e.labels, job.label) {
		e.site.rec.addBreak("task %s: requires the label %q, and %s has %v", r.Task, job.label, e.id, e.labels)
	}
	return e.done()
}

// stopRun stops a run. One that is not there is rejected later.
func (e *endpoint) stopRun(r runRequest) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accept(r) {
		return e.refuse("fence")
	}
	if run := e.runs[r.Task]; run != nil && run.number == r.Number {
		e.end(r.Task, "stopped")
	}
	e.highest[r.Task] = max(e.highest[r.Task], r.Number)
	return e.done()
}

// hold extends the lease and lists runs and ends. It waits for an end as long as asked.
func (e *endpoint) hold(r runRequest) (int, map[string]any) {
	deadline := time.Now().Add(time.Duration(r.WaitMS) * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accept(r) {
		return e.refuse("fence")
	}
	e.ends = slices.DeleteFunc(e.ends, func(end []any) bool { return end[0].(uint64) <= r.LastSeen })
	for len(e.ends) == 0 && time.Now().Before(deadline) {
		e.mu.Unlock()
		time.Sleep(pollInterval)
		e.mu.Lock()
		e.expire()
	}
	status, body := e.done()
	running := [][]any{}
	for task, run := range e.runs {
		percent := min(99, 100*time.Since(run.began)/max(1, run.work))
		running = append(running, []any{task, run.number, "", int(percent), run.cpu})
	}
	body["running"] = running
	body["ended"] = append([][]any{}, e.ends[:min(len(e.ends), maxEnds)]...)
	return status, body
}

// expire ends the runs whose work is done, and all others if the lease has lapsed. The
// caller holds the lock.
func (e *endpoint) expire() {
	for task, run := range e.runs {
		if time.Since(run.began) >= run.work {
			e.end(task, "done")
		}
	}
	if e.clock() <= e.leaseEnd {
		return
	}
	for task := range e.runs {
		e.end(task, "lapsed")
	}
}

// end ends a run. The caller holds the lock.
func (e *endpoint) end(task, how string) {
	run := e.runs[task]
	delete(e.runs, task)
	e.highest[task] = max(e.highest[task], run.number)
	e.lastEnd++
	e.ends = append(e.ends, []any{e.lastEnd, task, run.number, how, ""})
	e.site.rec.add("task %s: run %d on %s ends %s", task, run.number, e.id, how)
	if since := e.site.sinceCancelled(task); since > cancelBound+stopBound {
		e.site.rec.addBreak("task %s: has run until %s after the cancelling of its job was acknowledged", task, since)
	}
}

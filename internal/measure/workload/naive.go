package workload

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
)

// naiveRetryDelay is the delay before a refused task is sent again.
const naiveRetryDelay = 5 * time.Millisecond

// naiveDispatcher is the baseline of a measurement. It sends every task to a
// random endpoint at once, and again to a random one each time it is refused. It
// has no queue and no limits. It sends no tasks to endpoints whose zone is out of
// service.
type naiveDispatcher struct {
	client    *http.Client
	endpoints []*endpoint.Endpoint

	mu           sync.Mutex
	rng          *rand.Rand
	zonesOut     map[int]bool // by index: 0 for zone-a
	sent         atomic.Int64
	unsuccessful atomic.Int64 // sent, and refused or failed
}

func newNaiveDispatcher(w Workload, endpoints []*endpoint.Endpoint) *naiveDispatcher {
	for _, e := range endpoints {
		e.RefuseOverSlots()
	}
	return &naiveDispatcher{
		client:    newHTTPClient(),
		endpoints: endpoints,
		rng:       rand.New(rand.NewPCG(w.Seed, 2)),
		zonesOut:  map[int]bool{},
	}
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

func (n *naiveDispatcher) submit(ctx context.Context, job plannedJob, deadline time.Time) (outcome, string) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var wg sync.WaitGroup
	var taskFailed atomic.Bool
	for i, t := range job.tasks {
		wg.Go(func() {
			if !n.runTask(ctx, t, i) {
				taskFailed.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	if taskFailed.Load() {
		return failed, "task failed"
	}
	return complete, ""
}

// runTask sends a task to random endpoints until one accepts it, and reports
// whether it succeeded.
func (n *naiveDispatcher) runTask(ctx context.Context, t plannedTask, i int) bool {
	for ctx.Err() == nil {
		status, err := n.post(ctx, n.pickEndpoint(), taskPayload(t, i))
		if err != nil {
			return false
		}
		if status == http.StatusOK {
			return true
		}
		n.unsuccessful.Add(1)
		if status != http.StatusServiceUnavailable {
			return false
		}
		time.Sleep(naiveRetryDelay)
	}
	return false
}

func (n *naiveDispatcher) pickEndpoint() *endpoint.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		i := n.rng.IntN(len(n.endpoints))
		// Package local puts endpoint i into the zone of index i%3.
		if !n.zonesOut[i%3] {
			return n.endpoints[i]
		}
	}
}

func (n *naiveDispatcher) post(ctx context.Context, e *endpoint.Endpoint, body []byte) (int, error) {
	n.sent.Add(1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+"/v1/tasks", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Savorystair-Kind", "work")
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func (n *naiveDispatcher) setZone(_ context.Context, zone string, out bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zonesOut[int(zone[len(zone)-1]-'a')] = out
	return nil
}

func (n *naiveDispatcher) startCounts() (int64, map[string]int64) {
	return n.sent.Load(), map[string]int64{"refused": n.unsuccessful.Load()}
}

// refusalReason returns the reason of a refusal by the caller API, or
// "connection" for any other error.
func refusalReason(err error) string {
	var refusal *callerapi.RefusalStatusCode
	if errors.As(err, &refusal) {
		return refusal.Response.Reason
	}
	return "connection"
}

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

// naiveRetry is how long the naive dispatcher waits after a refusal.
const naiveRetry = 5 * time.Millisecond

// naive sends every task to a random endpoint at once, and to another one when
// it is refused. It has no limits, and knows of zones only that operators turn
// their endpoints off.
type naive struct {
	client    *http.Client
	endpoints []*endpoint.Endpoint

	mu   sync.Mutex
	rng  *rand.Rand
	out  map[int]bool
	sent atomic.Int64
	lost atomic.Int64
}

func newNaive(w Workload, endpoints []*endpoint.Endpoint) *naive {
	for _, e := range endpoints {
		e.RefuseOverSlots()
	}
	return &naive{
		client:    newHTTPClient(),
		endpoints: endpoints,
		rng:       rand.New(rand.NewPCG(w.Seed, 2)),
		out:       map[int]bool{},
	}
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

func (n *naive) submit(ctx context.Context, o offer, deadline time.Time) (outcome, string) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var wait sync.WaitGroup
	var broken atomic.Bool
	for i, t := range o.tasks {
		wait.Go(func() {
			if !n.run(ctx, t, i) {
				broken.Store(true)
				cancel()
			}
		})
	}
	wait.Wait()
	if broken.Load() {
		return failed, "task failed"
	}
	return complete, ""
}

// run tries endpoints until one takes the task.
func (n *naive) run(ctx context.Context, t offeredTask, i int) bool {
	for ctx.Err() == nil {
		status, err := n.post(ctx, n.pick(), payload(t, i))
		if err != nil {
			return false
		}
		if status == http.StatusOK {
			return true
		}
		n.lost.Add(1)
		if status != http.StatusServiceUnavailable {
			return false
		}
		time.Sleep(naiveRetry)
	}
	return false
}

func (n *naive) pick() *endpoint.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		i := n.rng.IntN(len(n.endpoints))
		if !n.out[i%3] {
			return n.endpoints[i]
		}
	}
}

func (n *naive) post(ctx context.Context, e *endpoint.Endpoint, body []byte) (int, error) {
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

func (n *naive) setZone(_ context.Context, zone string, out bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.out[int(zone[len(zone)-1]-'a')] = out
	return nil
}

func (n *naive) messages() (int64, map[string]int64) {
	return n.sent.Load(), map[string]int64{"refused": n.lost.Load()}
}

func refusalReason(err error) string {
	var refusal *callerapi.RefusalStatusCode
	if errors.As(err, &refusal) {
		return refusal.Response.Reason
	}
	return "connection"
}

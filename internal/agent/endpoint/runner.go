package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// HTTP headers of a task request, and of its response.
const (
	HeaderTeam = "Savorystair-Team"
	HeaderJob  = "Savorystair-Job"
	HeaderTask = "Savorystair-Task"
	HeaderKind = "Savorystair-Kind"
	// HeaderNotRun set to "true" on a response with status 503 states that the
	// task was not started.
	HeaderNotRun = "Savorystair-Not-Run"
)

const (
	// dialTimeout limits the time to connect to the endpoint.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout is how long an unused connection stays open.
	idleConnTimeout = 30 * time.Second
	// maxResultBytes limits the size of a result.
	maxResultBytes = 1 << 20
	// maxDetailBytes limits how much of an error response is kept.
	maxDetailBytes = 256
)

// Task is a task to run at the endpoint.
type Task struct {
	Team    string
	Job     string
	Step    uint32
	Index   uint32
	Attempt uint32
	Kind    string
	Payload []byte
	// Stalls counts the earlier runs of the task that were stopped for lack of
	// progress.
	Stalls uint32
	// MayStart reports whether the task may still start. A SyncRunner calls it
	// again immediately before it writes the request to the connection, and a
	// LeasedRunner before each start request. Nil means that the task may start.
	MayStart func() bool
	// EndBy returns the reading of clock.SinceBoot by which a run of the task must
	// have ended. It moves on until the run is cancelled. Nil means that there is no
	// such time. Only a LeasedRunner observes it.
	EndBy func() time.Duration
}

// Outcome is how a task ended.
type Outcome struct {
	Result []byte
	// Reason is Unspecified for a task that succeeded.
	Reason reason.Reason
	Detail string
	// NotRun reports that the task certainly did not start at the endpoint.
	NotRun bool
	// Took is how long the task ran.
	Took time.Duration
}

// Runner runs tasks at one endpoint.
type Runner interface {
	// Run runs the task at the endpoint and returns its outcome.
	Run(ctx context.Context, t Task) Outcome
}

// SyncRunner is a Runner for an endpoint that runs a task for the duration of
// one HTTP request.
type SyncRunner struct {
	url    string
	client *http.Client
}

// NewSyncRunner returns a runner for the endpoint that made the announcement.
func NewSyncRunner(a Announcement) *SyncRunner {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &SyncRunner{
		url: "http://" + a.Address + "/v1/tasks",
		client: &http.Client{Transport: &http.Transport{
			DialContext:         gateConns(dialer.DialContext),
			MaxConnsPerHost:     a.Connections,
			MaxIdleConnsPerHost: a.MaxConcurrentTasks(),
			IdleConnTimeout:     idleConnTimeout,
		}},
	}
}

// Run sends the task and waits for its outcome. The task is sent at most once:
// net/http repeats a POST only if none of it was written.
func (r *SyncRunner) Run(ctx context.Context, t Task) Outcome {
	start := time.Now()
	o := r.call(ctx, t)
	o.Took = time.Since(start)
	return o
}

// Close closes the idle connections.
func (r *SyncRunner) Close() { r.client.CloseIdleConnections() }

func (r *SyncRunner) call(ctx context.Context, t Task) Outcome {
	expired := Outcome{Reason: reason.ViewUnconfirmed, Detail: errStartExpired.Error(), NotRun: true}
	if t.MayStart != nil && !t.MayStart() {
		return expired
	}
	var gate startGate
	req, err := http.NewRequestWithContext(gate.guard(ctx, t.MayStart), http.MethodPost, r.url, bytes.NewReader(t.Payload))
	if err != nil {
		return Outcome{Reason: reason.EndpointGone, Detail: err.Error(), NotRun: true}
	}
	req.Header.Set(HeaderTeam, t.Team)
	req.Header.Set(HeaderJob, t.Job)
	req.Header.Set(HeaderTask, strconv.FormatUint(uint64(t.Index), 10))
	req.Header.Set(HeaderKind, t.Kind)
	resp, err := r.client.Do(req)
	switch {
	case err != nil && gate.closed.Load():
		return expired
	case err != nil:
		return failureOutcome(ctx, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	switch {
	case err != nil:
		return failureOutcome(ctx, err)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true":
		return Outcome{Reason: reason.EndpointRefused, Detail: truncateDetail(body), NotRun: true}
	case resp.StatusCode != http.StatusOK:
		return Outcome{Reason: reason.EndpointFailed, Detail: fmt.Sprintf("status %d: %s", resp.StatusCode, truncateDetail(body))}
	case len(body) > maxResultBytes:
		return Outcome{Reason: reason.EndpointFailed, Detail: "the result is larger than 1 MiB"}
	}
	return Outcome{Result: body}
}

// failureOutcome returns the outcome for a failed request. Only a failed dial
// proves that the task did not run.
func failureOutcome(ctx context.Context, err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Outcome{Reason: reason.EndpointGone, Detail: err.Error(), NotRun: true}
	}
	if ctx.Err() != nil {
		return Outcome{Reason: reason.Cancelled, Detail: "the task was cancelled after its start"}
	}
	return Outcome{Reason: reason.EndpointFailed, Detail: err.Error()}
}

func truncateDetail(body []byte) string {
	return string(bytes.TrimSpace(body[:min(len(body), maxDetailBytes)]))
}

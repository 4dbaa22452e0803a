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

// Headers of a task, and of an endpoint's answer.
const (
	HeaderTeam = "Savorystair-Team"
	HeaderJob  = "Savorystair-Job"
	HeaderTask = "Savorystair-Task"
	HeaderKind = "Savorystair-Kind"
	// HeaderNotRun on a 503 answer says that the task was not started.
	HeaderNotRun = "Savorystair-Not-Run"
)

const (
	// dialTimeout bounds the set-up of a connection to the endpoint.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
	// maxResult bounds the size of a result, in bytes.
	maxResult = 1 << 20
	// maxDetail bounds the text kept of a failed answer, in bytes.
	maxDetail = 256
)

// Task is one task for the endpoint.
type Task struct {
	Team    string
	Job     string
	Step    uint32
	Index   uint32
	Attempt uint32
	Kind    string
	Payload []byte
	// Stalls is how many runs of the task were stopped for want of progress.
	Stalls uint32
	// Allowed is asked at the last moment before the task is written to the
	// connection; nil allows it.
	Allowed func() bool
}

// Outcome is how a task ended. Reason is Unspecified for one that succeeded;
// NotRun says that the endpoint is known not to have started it.
type Outcome struct {
	Result []byte
	Reason reason.Reason
	Detail string
	NotRun bool
	Took   time.Duration
}

// Runner hands tasks to one endpoint.
type Runner interface {
	// Run hands the task over and returns its outcome.
	Run(ctx context.Context, t Task) Outcome
}

// Caller is a Runner for an endpoint that runs a task while a call lasts.
type Caller struct {
	url    string
	client *http.Client
}

// NewCaller returns a runner for the endpoint of an announcement.
func NewCaller(a Announcement) *Caller {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Caller{
		url: "http://" + a.Address + "/v1/tasks",
		client: &http.Client{Transport: &http.Transport{
			DialContext:         gateConns(dialer.DialContext),
			MaxConnsPerHost:     a.Connections,
			MaxIdleConnsPerHost: a.Slot(),
			IdleConnTimeout:     idleTimeout,
		}},
	}
}

// Run hands the task over and waits for its outcome. The HTTP library repeats
// a POST only when nothing of it was written, so that a task is sent once.
func (r *Caller) Run(ctx context.Context, t Task) Outcome {
	start := time.Now()
	o := r.run(ctx, t)
	o.Took = time.Since(start)
	return o
}

// Close drops the idle connections.
func (r *Caller) Close() { r.client.CloseIdleConnections() }

func (r *Caller) run(ctx context.Context, t Task) Outcome {
	if t.Allowed != nil && !t.Allowed() {
		return Outcome{Reason: reason.ViewUnconfirmed, Detail: errNotAllowed.Error(), NotRun: true}
	}
	req, err := http.NewRequestWithContext(gated(ctx, t.Allowed), http.MethodPost, r.url, bytes.NewReader(t.Payload))
	if err != nil {
		return Outcome{Reason: reason.EndpointGone, Detail: err.Error(), NotRun: true}
	}
	req.Header.Set(HeaderTeam, t.Team)
	req.Header.Set(HeaderJob, t.Job)
	req.Header.Set(HeaderTask, strconv.FormatUint(uint64(t.Index), 10))
	req.Header.Set(HeaderKind, t.Kind)
	resp, err := r.client.Do(req)
	if err != nil {
		return failure(ctx, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResult+1))
	switch {
	case err != nil:
		return failure(ctx, err)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true":
		return Outcome{Reason: reason.EndpointRefused, Detail: clip(body), NotRun: true}
	case resp.StatusCode != http.StatusOK:
		return Outcome{Reason: reason.EndpointFailed, Detail: fmt.Sprintf("status %d: %s", resp.StatusCode, clip(body))}
	case len(body) > maxResult:
		return Outcome{Reason: reason.EndpointFailed, Detail: "the result is larger than 1 MiB"}
	}
	return Outcome{Result: body}
}

// failure classifies an error: a connection that could not be made proves that
// the task did not run, everything else leaves it open.
func failure(ctx context.Context, err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Outcome{Reason: reason.EndpointGone, Detail: err.Error(), NotRun: true}
	}
	if errors.Is(err, errNotAllowed) {
		return Outcome{Reason: reason.ViewUnconfirmed, Detail: err.Error(), NotRun: true}
	}
	if ctx.Err() != nil {
		return Outcome{Reason: reason.Cancelled, Detail: "cancelled after the start"}
	}
	return Outcome{Reason: reason.EndpointFailed, Detail: err.Error()}
}

func clip(body []byte) string {
	return string(bytes.TrimSpace(body[:min(len(body), maxDetail)]))
}

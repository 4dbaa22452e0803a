// Package rest serves the caller API: jobs and requests over HTTP and JSON.
package rest

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

const (
	// maxBody bounds a request's body, in bytes: 260 payloads of 64 KiB in
	// base64, and room for the rest.
	maxBody = 24 << 20
	// maxDeadline bounds how far away a deadline may be.
	maxDeadline = 24 * time.Hour
)

// Control is the control state as callers use it.
type Control interface {
	// Submit hands in a job and waits for its answer.
	Submit(ctx context.Context, job caller.Job) (caller.Answer, error)
	// RequestKey returns a key of its own for a repeatable request.
	RequestKey(team string) caller.Key
	// Find returns the state of a job, at whatever entry holds it, after
	// cancelling it if told to. It returns nil for a job that none holds.
	Find(ctx context.Context, key caller.Key, cancel bool) (*caller.Peeked, error)
	// Now is the clock of job deadlines.
	Now() time.Duration
	// Ready reports whether the entry takes new work.
	Ready() bool
}

// Handler implements the caller API.
type Handler struct {
	Control Control
}

// NewServer returns the HTTP handler of the caller API.
func NewServer(c Control) (http.Handler, error) {
	api, err := callerapi.NewServer(&Handler{Control: c}, callerapi.WithErrorHandler(badRequest))
	if err != nil {
		return nil, fmt.Errorf("caller API: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", http.MaxBytesHandler(api, maxBody))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !c.Ready() {
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		}
	})
	return mux, nil
}

// SubmitJob runs a job.
func (h *Handler) SubmitJob(ctx context.Context, req *callerapi.Job) (*callerapi.Answer, error) {
	job := caller.Job{
		Key:     caller.Key{Team: string(req.Team), ID: string(req.JobID)},
		Service: string(req.Service),
		First:   req.FirstSubmission.Value,
	}
	for i := range req.Tasks {
		job.Tasks = append(job.Tasks, taskOf(&req.Tasks[i]))
	}
	return h.submit(ctx, job, req.Deadline)
}

// SubmitRequest runs a single request.
func (h *Handler) SubmitRequest(ctx context.Context, req *callerapi.SingleRequest) (*callerapi.Answer, error) {
	job := caller.Job{
		Key:        caller.Key{Team: string(req.Team), ID: string(req.RequestID.Value)},
		Service:    string(req.Service),
		First:      req.FirstSubmission.Value,
		Tasks:      []caller.Task{taskOf(&req.Task)},
		Repeatable: !req.Unrepeatable.Value,
	}
	if job.Repeatable {
		job.Key = h.Control.RequestKey(job.Team)
	} else if !req.RequestID.Set {
		return nil, invalid("request_id", "an unrepeatable request needs an id, by which a resubmission is recognized")
	}
	return h.submit(ctx, job, req.Deadline)
}

// GetJob looks up a job.
func (h *Handler) GetJob(ctx context.Context, params callerapi.GetJobParams) (*callerapi.JobStatus, error) {
	found, err := h.find(ctx, string(params.Team), string(params.JobID), false)
	if err != nil {
		return nil, err
	}
	status := &callerapi.JobStatus{
		Phase:   found.Progress.GetPhase(),
		Tasks:   int(found.Progress.GetTasks()),
		Done:    int(found.Progress.GetDone()),
		Running: int(found.Progress.GetRunning()),
	}
	if found.Finished {
		status.Answer = callerapi.NewOptAnswer(*answerOf(found.Answer))
	}
	return status, nil
}

// CancelJob cancels a job.
func (h *Handler) CancelJob(ctx context.Context, params callerapi.CancelJobParams) (*callerapi.Answer, error) {
	found, err := h.find(ctx, string(params.Team), string(params.JobID), true)
	if err != nil {
		return nil, err
	}
	return answerOf(found.Answer), nil
}

func (h *Handler) find(ctx context.Context, team, id string, cancel bool) (*caller.Peeked, error) {
	found, err := h.Control.Find(ctx, caller.Key{Team: team, ID: id}, cancel)
	if err != nil {
		return nil, err
	}
	if found == nil {
		return nil, &refusalError{
			status: http.StatusNotFound,
			body: callerapi.Refusal{
				Reason: reason.NotFound.String(),
				Detail: "no entry that can be reached holds the job; resubmit it to learn its outcome",
			},
		}
	}
	return found, nil
}

// submit completes a job, runs it and turns a refusal into an error.
func (h *Handler) submit(ctx context.Context, job caller.Job, deadline time.Time) (*callerapi.Answer, error) {
	left := time.Until(deadline)
	if left <= 0 {
		return nil, invalid("deadline", "has passed")
	}
	if left > maxDeadline {
		return nil, invalid("deadline", "is more than 24 h away")
	}
	job.Deadline = h.Control.Now() + left
	digest, err := digestOf(&job)
	if err != nil {
		return nil, err
	}
	job.Digest = digest
	answer, err := h.Control.Submit(ctx, job)
	if err != nil {
		return nil, err
	}
	if answer.Refused {
		return nil, refusalOf(answer)
	}
	return answerOf(answer), nil
}

// digestOf identifies the content of a job. The deadline is left out, so that
// a resubmission may have a later one.
func digestOf(job *caller.Job) ([sha256.Size]byte, error) {
	text, err := json.Marshal(struct {
		Service    string
		Repeatable bool
		Tasks      []caller.Task
	}{job.Service, job.Repeatable, job.Tasks})
	if err != nil {
		return [sha256.Size]byte{}, fmt.Errorf("digest of the job: %w", err)
	}
	return sha256.Sum256(text), nil
}

func taskOf(t *callerapi.Task) caller.Task {
	return caller.Task{
		Kind:     string(t.Kind),
		Payload:  t.Payload,
		Declared: time.Duration(t.DeclaredRunMs.Value) * time.Millisecond,
		MemoryMB: t.DeclaredMemoryMB.Value,
	}
}

func answerOf(a caller.Answer) *callerapi.Answer {
	if a.Complete {
		return &callerapi.Answer{Status: callerapi.AnswerStatusComplete, Results: a.Results}
	}
	return &callerapi.Answer{
		Status:     callerapi.AnswerStatusFailed,
		Reason:     callerapi.NewOptString(a.Reason.String()),
		MayHaveRun: callerapi.NewOptBool(a.MayHaveRun),
		Detail:     callerapi.NewOptString(a.Detail),
	}
}

// NewError turns an error of a handler into a response.
func (h *Handler) NewError(_ context.Context, err error) *callerapi.RefusalStatusCode {
	var refusal *refusalError
	if errors.As(err, &refusal) {
		return &callerapi.RefusalStatusCode{StatusCode: refusal.status, Response: refusal.body}
	}
	return &callerapi.RefusalStatusCode{
		StatusCode: http.StatusServiceUnavailable,
		Response: callerapi.Refusal{
			Reason: reason.Unspecified.String(),
			Detail: err.Error(),
		},
	}
}

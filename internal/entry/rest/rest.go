// Package rest serves the caller API: jobs and single requests as JSON over HTTP.
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
	// maxBodyBytes bounds a request's body: 260 payloads of 64 KiB in base64, and
	// the rest of the request.
	maxBodyBytes = 24 << 20
	// maxDeadlineAhead bounds how far in the future a deadline may lie.
	maxDeadlineAhead = 24 * time.Hour
)

// Control is the part of an entry's control state that callers use.
type Control interface {
	// Submit submits a job and waits for its answer.
	Submit(ctx context.Context, job caller.Job) (caller.Answer, error)
	// RequestKey returns a unique key for a repeatable request.
	RequestKey(team string) caller.Key
	// FindJob returns the status of a job from the entry that holds it, after
	// cancelling the job if cancel is set. It returns nil if no reachable entry
	// holds the job.
	FindJob(ctx context.Context, key caller.Key, cancel bool) (*caller.JobStatus, error)
	// Now returns the time on the clock of job deadlines.
	Now() time.Duration
	// MaxJobTasks returns the largest number of tasks of a job.
	MaxJobTasks() int
	// RecordTooManyTasks counts a job that has more.
	RecordTooManyTasks()
	// Ready reports whether no planned stop of the entry has begun.
	Ready() bool
}

// Handler implements the caller API.
type Handler struct {
	Control Control
}

// NewServer returns the HTTP handler of the caller API and of the health check,
// which fails once a planned stop has begun.
func NewServer(c Control) (http.Handler, error) {
	api, err := callerapi.NewServer(&Handler{Control: c}, callerapi.WithErrorHandler(writeBadRequest))
	if err != nil {
		return nil, fmt.Errorf("create caller API server: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", http.MaxBytesHandler(limitTasks(c, api), maxBodyBytes))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !c.Ready() {
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		}
	})
	return mux, nil
}

// SubmitJob submits a job and waits for its answer.
func (h *Handler) SubmitJob(ctx context.Context, req *callerapi.Job) (*callerapi.Answer, error) {
	job := caller.Job{
		Key:             caller.Key{Team: string(req.Team), ID: string(req.JobID)},
		Service:         string(req.Service),
		FirstSubmission: req.FirstSubmission.Value,
	}
	for i := range req.Tasks {
		job.Tasks = append(job.Tasks, taskOf(&req.Tasks[i]))
	}
	return h.submit(ctx, job, req.Deadline)
}

// SubmitRequest submits a single request, as a job of one task, and waits for its
// answer.
func (h *Handler) SubmitRequest(ctx context.Context, req *callerapi.SingleRequest) (*callerapi.Answer, error) {
	job := caller.Job{
		Key:             caller.Key{Team: string(req.Team), ID: string(req.RequestID.Value)},
		Service:         string(req.Service),
		FirstSubmission: req.FirstSubmission.Value,
		Tasks:           []caller.Task{taskOf(&req.Task)},
		Repeatable:      !req.Unrepeatable.Value,
	}
	if job.Repeatable {
		job.Key = h.Control.RequestKey(job.Team)
	} else if !req.RequestID.Set {
		return nil, invalidField("request_id", "is required for an unrepeatable request, to recognize a resubmission")
	}
	return h.submit(ctx, job, req.Deadline)
}

// GetJob returns the status of a job, with its answer if it has one.
func (h *Handler) GetJob(ctx context.Context, params callerapi.GetJobParams) (*callerapi.JobStatus, error) {
	found, err := h.findJob(ctx, string(params.Team), string(params.JobID), false)
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

// CancelJob cancels a job and returns its final answer.
func (h *Handler) CancelJob(ctx context.Context, params callerapi.CancelJobParams) (*callerapi.Answer, error) {
	found, err := h.findJob(ctx, string(params.Team), string(params.JobID), true)
	if err != nil {
		return nil, err
	}
	return answerOf(found.Answer), nil
}

// findJob calls Control.FindJob, and returns a refusal as the error if no
// reachable entry holds the job.
func (h *Handler) findJob(ctx context.Context, team, id string, cancel bool) (*caller.JobStatus, error) {
	found, err := h.Control.FindJob(ctx, caller.Key{Team: team, ID: id}, cancel)
	if err != nil {
		return nil, err
	}
	if found == nil {
		return nil, &refusalError{
			status: http.StatusNotFound,
			body: callerapi.Refusal{
				Reason: reason.NotFound.String(),
				Detail: "no reachable entry holds the job; resubmit it to get its outcome",
			},
		}
	}
	return found, nil
}

// submit adds the deadline and the digest to a job, submits it and waits for its
// answer. An answer that refuses the job is returned as an error.
func (h *Handler) submit(ctx context.Context, job caller.Job, deadline time.Time) (*callerapi.Answer, error) {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return nil, invalidField("deadline", "has passed")
	}
	if remaining > maxDeadlineAhead {
		return nil, invalidField("deadline", "is more than 24 h away")
	}
	job.Deadline = h.Control.Now() + remaining
	digest, err := jobDigest(&job)
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

// jobDigest returns a hash of the content of a job. A resubmission must have the
// same hash. The deadline isn't included, so that a resubmission may have a later
// one. The hash covers the JSON encoding, and with it the names of the encoded
// fields.
func jobDigest(job *caller.Job) ([sha256.Size]byte, error) {
	content, err := json.Marshal(struct {
		Service    string
		Repeatable bool
		Tasks      []caller.Task
	}{job.Service, job.Repeatable, job.Tasks})
	if err != nil {
		return [sha256.Size]byte{}, fmt.Errorf("encode job for its digest: %w", err)
	}
	return sha256.Sum256(content), nil
}

// taskOf converts a task of the API into one of the control state.
func taskOf(t *callerapi.Task) caller.Task {
	return caller.Task{
		Kind:     string(t.Kind),
		Payload:  t.Payload,
		Declared: time.Duration(t.DeclaredRunMs.Value) * time.Millisecond,
		MemoryMB: t.DeclaredMemoryMB.Value,
	}
}

// answerOf converts an answer of the control state into one of the API.
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

// NewError converts an error of a handler into a response.
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

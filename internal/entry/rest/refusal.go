package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// maxOtherObjects bounds the objects in a request that are not tasks.
const maxOtherObjects = 16

// refusalError is an error that carries a refusal. NewError converts it into the
// response.
type refusalError struct {
	status int
	body   callerapi.Refusal
}

// Error returns the reason and the detail.
func (e *refusalError) Error() string { return e.body.Reason + ": " + e.body.Detail }

// invalidField returns the refusal of a request with one invalid field.
func invalidField(field, problem string) error {
	return &refusalError{
		status: http.StatusUnprocessableEntity,
		body: callerapi.Refusal{
			Reason:   reason.BadInput.String(),
			NotRun:   true,
			Detail:   field + " " + problem,
			Findings: []callerapi.Finding{{Field: field, Problem: problem}},
		},
	}
}

// refusalOf converts an answer of the control state that refuses a job into a
// refusal.
func refusalOf(a caller.Answer) error {
	return &refusalError{
		status: refusalStatus(a.Reason),
		body: callerapi.Refusal{
			Reason: a.Reason.String(),
			NotRun: !a.MayHaveRun,
			Detail: a.Detail,
		},
	}
}

// refusalStatus returns the HTTP status for a refusal with the given reason.
func refusalStatus(r reason.Reason) int {
	switch r {
	case reason.DigestMismatch:
		return http.StatusConflict
	case reason.NeverRunnable, reason.DeadlinePassed:
		return http.StatusUnprocessableEntity
	case reason.TeamQuota:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// writeBadRequest writes the response to a request that does not conform to the
// API: a refusal with NotRun set, which lists every invalid field.
func writeBadRequest(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status := ogenerrors.ErrorCode(err)
	var tooLarge *http.MaxBytesError
	refusal := callerapi.Refusal{
		Reason:   reason.BadInput.String(),
		NotRun:   true,
		Detail:   err.Error(),
		Findings: collectFindings("", err),
	}
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
		refusal.Detail = fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
		refusal.Findings = []callerapi.Finding{{Field: "body", Problem: refusal.Detail}}
	}
	body, err := json.Marshal(&refusal)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}

// RefusalBody returns the body of the response to a request that was refused before it
// was decoded.
func RefusalBody(status int, detail string) (contentType string, body []byte) {
	refusal := callerapi.Refusal{Reason: reason.BadInput.String(), NotRun: true, Detail: detail}
	switch {
	case status == http.StatusServiceUnavailable, status == http.StatusRequestTimeout:
		// An earlier submission of the same job may have run.
		refusal.Reason, refusal.NotRun = reason.Overloaded.String(), false
	case status != http.StatusRequestHeaderFieldsTooLarge:
		refusal.Findings = []callerapi.Finding{{Field: "body", Problem: detail}}
	}
	body, err := json.Marshal(&refusal)
	if err != nil {
		return "text/plain; charset=utf-8", []byte(detail)
	}
	return "application/json; charset=utf-8", body
}

// limitTasks returns a handler that refuses bodies with more objects than a job may have
// tasks before they are decoded, since decoded tasks take several times their text.
func limitTasks(c Control, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength >= 0 && r.ContentLength < 2*int64(c.MaxJobTasks()) {
			next.ServeHTTP(w, r)
			return
		}
		body, err := h2c.ReadBody(r)
		if err != nil {
			writeBadRequest(r.Context(), w, r, err)
			return
		}
		if bytes.Count(body, []byte("{")) > c.MaxJobTasks()+maxOtherObjects {
			c.RecordTooManyTasks()
			contentType, text := RefusalBody(http.StatusRequestEntityTooLarge, fmt.Sprintf("a job has more than %d tasks; it was not run", c.MaxJobTasks()))
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			// A write error means that the caller has disconnected.
			_, _ = w.Write(text)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// collectFindings lists the invalid fields of a validation error as paths such as
// tasks[3].kind, which begin with the given path.
func collectFindings(path string, err error) []callerapi.Finding {
	var fields *validate.Error
	if !errors.As(err, &fields) {
		if path == "" {
			path = errorField(err)
		}
		return []callerapi.Finding{{Field: path, Problem: err.Error()}}
	}
	var all []callerapi.Finding
	for _, f := range fields.Fields {
		all = append(all, collectFindings(joinPath(path, f.Name), f.Error)...)
	}
	return all
}

// errorField returns the field to report for an error that names no field: the
// parameter that could not be decoded, or else the body.
func errorField(err error) string {
	var param *ogenerrors.DecodeParamError
	if errors.As(err, &param) {
		return param.Name
	}
	return "body"
}

// joinPath appends a field name or an index such as [3] to a path.
func joinPath(path, name string) string {
	if path == "" || name[0] == '[' {
		return path + name
	}
	return path + "." + name
}

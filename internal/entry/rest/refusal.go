package rest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// refusalError is a refusal on its way to the response.
type refusalError struct {
	status int
	body   callerapi.Refusal
}

// Error returns the reason and the detail.
func (e *refusalError) Error() string { return e.body.Reason + ": " + e.body.Detail }

// invalid refuses a request for one field.
func invalid(field, problem string) error {
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

func refusalOf(a caller.Answer) error {
	return &refusalError{
		status: statusOf(a.Reason),
		body: callerapi.Refusal{
			Reason: a.Reason.String(),
			NotRun: !a.MayHaveRun,
			Detail: a.Detail,
		},
	}
}

func statusOf(r reason.Reason) int {
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

// badRequest answers a request that does not follow the API: nothing of it was
// run, and every field at fault is named.
func badRequest(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status := ogenerrors.ErrorCode(err)
	var tooLarge *http.MaxBytesError
	refusal := callerapi.Refusal{
		Reason:   reason.BadInput.String(),
		NotRun:   true,
		Detail:   err.Error(),
		Findings: findings("", err),
	}
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
		refusal.Detail = fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
		refusal.Findings = []callerapi.Finding{{Field: "body", Problem: refusal.Detail}}
	}
	text, err := json.Marshal(&refusal)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	// The caller may have gone.
	_, _ = w.Write(text)
}

// findings collects the fields at fault, as paths such as tasks[3].kind.
func findings(path string, err error) []callerapi.Finding {
	var fields *validate.Error
	if !errors.As(err, &fields) {
		if path == "" {
			path = fieldOf(err)
		}
		return []callerapi.Finding{{Field: path, Problem: err.Error()}}
	}
	var all []callerapi.Finding
	for _, f := range fields.Fields {
		all = append(all, findings(join(path, f.Name), f.Error)...)
	}
	return all
}

// fieldOf names the place of an error that has no field: a parameter or the
// body.
func fieldOf(err error) string {
	var param *ogenerrors.DecodeParamError
	if errors.As(err, &param) {
		return param.Name
	}
	return "body"
}

func join(path, name string) string {
	if path == "" || name[0] == '[' {
		return path + name
	}
	return path + "." + name
}

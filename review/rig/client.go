package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/savorystair/savorystair/platform/standin"
)

// Step is a step of a job.
type Step struct {
	Count        int    `json:"count"`
	CPUMilli     int    `json:"cpu"`
	MemoryMB     int    `json:"mem_mb"`
	EstimateMS   int64  `json:"estimate_ms"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

// NewJobID returns a random id.
func NewJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Call sends a request about a job, with a time limit, to an entry. It returns the
// status, or 0 if there was no response, and the body.
func (s *Site) Call(entry int, method string, route standin.Route, id string, body any, limit time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	text := []byte{}
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return 0, err.Error()
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.CallerAddress(entry)+route.PathPrefix+id, bytes.NewReader(text))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = route.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(standin.DeadlineHeader, fmt.Sprint(limit.Milliseconds()))
	s.Record.Line("request", "%s %s to front-%d, time limit %s", method, id, entry, limit)
	status, answer := 0, ""
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		status = resp.StatusCode
		content, _ := io.ReadAll(resp.Body)
		answer = string(content)
		// The content was read, so the error does not matter.
		_ = resp.Body.Close()
	} else {
		answer = err.Error()
	}
	s.Record.Line("response", "%s %s from front-%d: %d %s", method, id, entry, status, answer)
	return status, answer
}

// Submit submits a job that need not be stored.
func (s *Site) Submit(entry int, route standin.Route, id string, steps []Step, limit time.Duration) (int, string) {
	return s.Call(entry, http.MethodPost, route, id, map[string]any{"spec": "job " + id, "best_effort": true, "steps": steps}, limit)
}

// AwaitServing waits until every entry has completed a job of the given steps.
func (s *Site) AwaitServing(route standin.Route, steps []Step, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for entry := 0; entry < s.entries; {
		status, answer := s.Submit(entry, route, NewJobID(), steps, 3*time.Second)
		switch {
		case status == http.StatusOK && answer == `{"state":"completed"}`:
			entry++
		case time.Now().After(deadline):
			return fmt.Errorf("front-%d serves no job within %s: %d %s", entry, timeout, status, answer)
		default:
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

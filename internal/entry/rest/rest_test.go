package rest_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/standin/local"
)

// A request that doesn't conform to the API must get a 4xx status and a refusal
// that has not_run set and lists every invalid field.
func TestBadRequests(t *testing.T) {
	system, err := local.Start(t.Context(), local.Options{Agents: 1}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer system.Close()
	soon := time.Now().Add(time.Minute).UTC().Format(time.RFC3339)
	past := time.Now().Add(-time.Minute).UTC().Format(time.RFC3339)
	task := `{"kind":"echo","payload":"YQ=="}`
	job := func(id, deadline, tasks string) string {
		return fmt.Sprintf(`{"team":"t","job_id":%q,"service":"sample","deadline":%q,"tasks":[%s]}`, id, deadline, tasks)
	}
	tests := []struct {
		name   string
		path   string
		body   string
		status int
		fields []string
	}{
		{"invalid JSON", "/v1/jobs", `{`, http.StatusBadRequest, []string{"body"}},
		{"missing fields", "/v1/jobs", `{"tasks":[` + task + `]}`, http.StatusBadRequest, []string{"team", "job_id", "service", "deadline"}},
		{"no tasks", "/v1/jobs", job("j", soon, ""), http.StatusBadRequest, []string{"tasks"}},
		{"too many tasks", "/v1/jobs", job("j", soon, strings.Repeat(task+",", 260)+task), http.StatusBadRequest, []string{"tasks"}},
		{"invalid job id and kind", "/v1/jobs", job("a b", soon, `{"kind":"","payload":""}`), http.StatusBadRequest, []string{"job_id", "tasks[0].kind"}},
		{"negative declared run time", "/v1/jobs", job("j", soon, `{"kind":"k","payload":"","declared_run_ms":-1}`), http.StatusBadRequest, []string{"tasks[0].declared_run_ms"}},
		{"deadline has passed", "/v1/jobs", job("j", past, task), http.StatusUnprocessableEntity, []string{"deadline"}},
		{"oversized body", "/v1/jobs", strings.Repeat(" ", 25<<20), http.StatusRequestEntityTooLarge, []string{"body"}},
		{"unrepeatable without an id", "/v1/requests", fmt.Sprintf(`{"team":"t","service":"sample","deadline":%q,"unrepeatable":true,"task":%s}`, soon, task), http.StatusUnprocessableEntity, []string{"request_id"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, err := http.Post("http://"+system.Entries[0].CallerAddress()+tt.path, "application/json", strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var refusal callerapi.Refusal
			if err := json.NewDecoder(resp.Body).Decode(&refusal); err != nil {
				t.Fatalf("decode refusal of status %d: %v", resp.StatusCode, err)
			}
			if resp.StatusCode != tt.status || refusal.Reason != "bad_input" || !refusal.NotRun {
				t.Errorf("got status %d and %+v, want status %d and bad_input with not_run set", resp.StatusCode, refusal, tt.status)
			}
			var fields []string
			for _, f := range refusal.Findings {
				fields = append(fields, f.Field)
			}
			if fmt.Sprint(fields) != fmt.Sprint(tt.fields) {
				t.Errorf("findings for fields %q, want %q; detail: %s", fields, tt.fields, refusal.Detail)
			}
		})
	}
}

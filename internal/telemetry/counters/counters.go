// Package counters keeps the expvar counters of one process.
package counters

import (
	"expvar"
	"net/http"

	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/transport/budget"
)

// Set holds the counters of one process. The counters aren't published under
// expvar's global names, so that one program can run several of the system's
// processes, each with its own set. The zero value is not usable; call New.
type Set struct {
	root     expvar.Map
	Refusals expvar.Map // by reason
	// RefusalsTransport counts what was refused or closed because of the limits on
	// connections and requests, by reason.
	RefusalsTransport expvar.Map
	Retries           expvar.Map // by reason
	Failures          expvar.Map // by reason
	Messages          expvar.Map // by peer and direction, in messages
	Bytes             expvar.Map // by peer and direction, in bytes of payload
	Events            expvar.Map // all other counters, by name
	// Admission counts the decisions about jobs with a due time, by verdict.
	Admission expvar.Map
	Agents    expvar.Map // gauges of the agents on record, by name
	// Placement counts decisions about queued tasks at an agent, by decision.
	Placement expvar.Map
	// StartWaits are the times from the submission of a job to the first start of its
	// tasks, as size of the task/width of the job.
	StartWaits Histograms
}

// New returns a set with a zero counter for each reason.
func New() *Set {
	var s Set
	for _, m := range []*expvar.Map{&s.root, &s.Refusals, &s.RefusalsTransport, &s.Retries, &s.Failures, &s.Messages, &s.Bytes, &s.Events, &s.Admission, &s.Agents, &s.Placement} {
		m.Init()
	}
	for _, r := range reason.All() {
		s.Refusals.Add(r.String(), 0)
		s.Retries.Add(r.String(), 0)
		s.Failures.Add(r.String(), 0)
	}
	for _, r := range budget.Reasons() {
		s.RefusalsTransport.Add(r.String(), 0)
	}
	s.root.Set("refusals", &s.Refusals)
	s.root.Set("refusals_transport", &s.RefusalsTransport)
	s.root.Set("retries", &s.Retries)
	s.root.Set("failures", &s.Failures)
	s.root.Set("messages", &s.Messages)
	s.root.Set("bytes", &s.Bytes)
	s.root.Set("events", &s.Events)
	s.root.Set("admission", &s.Admission)
	s.root.Set("agents", &s.Agents)
	s.root.Set("placement", &s.Placement)
	s.root.Set("start_waits", &s.StartWaits)
	return &s
}

// ServeHTTP writes the set as JSON, together with expvar's global variables,
// such as memory statistics.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	vars := new(expvar.Map).Init()
	s.root.Do(func(kv expvar.KeyValue) { vars.Set(kv.Key, kv.Value) })
	expvar.Do(func(kv expvar.KeyValue) { vars.Set(kv.Key, kv.Value) })
	// The client may have disconnected, which needs no handling.
	_, _ = w.Write([]byte(vars.String()))
}

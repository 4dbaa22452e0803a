// Package workload measures the system under named workloads. It runs the same
// jobs on a local system with stand-in endpoints and on a naive dispatcher with
// an identical set of endpoints, and reports both.
package workload

import (
	_ "embed" // the schema
	"fmt"
	"os"
	"time"

	"github.com/savorystair/savorystair/internal/settings/jsonfile"
)

//go:embed workload.schema.json
var schemaText []byte

var schema = jsonfile.NewSchema("workload.schema.json", func() []byte { return schemaText })

// Workload describes the endpoints of a measurement and the jobs submitted to
// them.
type Workload struct {
	Name            string `json:"name"`
	Seed            uint64 `json:"seed"`
	DurationSeconds int    `json:"duration_s"`
	Entries         int    `json:"entries"`
	// Endpoints is the number of endpoints, spread over three availability zones.
	// Slots is the number of slots of each.
	Endpoints int `json:"instances"`
	Slots     int `json:"slots"`
	// Speeds are assigned to the endpoints in rotation.
	Speeds []float64 `json:"speeds"`
	// FailingEndpoints is how many endpoints fail every task after its start.
	FailingEndpoints int `json:"failing"`
	// LoadPercent is the submitted work in percent of the capacity: the slots of
	// all endpoints that do not fail, weighted by speed.
	LoadPercent float64 `json:"load_percent"`
	Tasks       Range   `json:"tasks"`
	TaskMS      Range   `json:"task_ms"`
	// Kinds is the number of task kinds. Each has a part of the range of run
	// times, so that a dispatcher can estimate run times by kind.
	Kinds int `json:"kinds"`
	// DeclaredError is the factor by which declared run times are off, up or
	// down. With 0 tasks declare no run time.
	DeclaredError float64 `json:"declared_error"`
	Teams         int     `json:"teams"`
	// FloodTeamPercent of all jobs are submitted by one team in addition to Teams.
	FloodTeamPercent float64 `json:"flood_team_percent"`
	// BurstJobs additional jobs are submitted at once every BurstIntervalSeconds.
	BurstIntervalSeconds int `json:"burst_every_s"`
	BurstJobs            int `json:"burst_jobs"`
	// CancelPercent is the share of jobs that their callers cancel.
	CancelPercent float64 `json:"cancel_percent"`
	// ZoneCycleSeconds is the time after which one zone is taken out of service,
	// and also the time for which it stays out. With 0 all zones stay in service.
	ZoneCycleSeconds int `json:"zone_cycle_s"`
	DeadlineMS       int `json:"deadline_ms"`
}

// Range is a range of integers, including both ends.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Load reads and validates a workload file. If its contents are invalid, the
// error is a *jsonfile.Error that holds every finding.
func Load(file string) (Workload, error) {
	var w Workload
	text, err := os.ReadFile(file)
	if err != nil {
		return w, fmt.Errorf("read workload file: %w", err)
	}
	src := jsonfile.Parse(file, text, schema)
	src.Decode(&w)
	checkRange(src, "/tasks", w.Tasks)
	checkRange(src, "/task_ms", w.TaskMS)
	if w.FailingEndpoints > w.Endpoints {
		src.AddFinding("/failing", "exceeds the number of instances")
	}
	return w, src.Err()
}

func checkRange(src *jsonfile.Source, pointer string, r Range) {
	if r.Min > r.Max {
		src.AddFinding(pointer+"/min", "exceeds max")
	}
}

// loadDuration returns how long jobs are submitted.
func (w Workload) loadDuration() time.Duration { return time.Duration(w.DurationSeconds) * time.Second }

// speed returns the speed of the endpoint with the given index.
func (w Workload) speed(index int) float64 { return w.Speeds[index%len(w.Speeds)] }

// capacity returns the number of slots weighted by speed, without those of
// failing endpoints.
func (w Workload) capacity() float64 {
	total := 0.0
	for i := w.FailingEndpoints; i < w.Endpoints; i++ {
		total += w.speed(i) * float64(w.Slots)
	}
	return total
}

// maxSpeed returns the highest speed of an endpoint that does not fail.
func (w Workload) maxSpeed() float64 {
	best := 0.0
	for i := w.FailingEndpoints; i < w.Endpoints; i++ {
		best = max(best, w.speed(i))
	}
	return best
}

// meanJobSeconds returns the mean total run time of a job at speed 1.
func (w Workload) meanJobSeconds() float64 {
	tasks := float64(w.Tasks.Min+w.Tasks.Max) / 2
	meanTaskSeconds := float64(w.TaskMS.Min+w.TaskMS.Max) / 2 / 1000
	return tasks * meanTaskSeconds
}

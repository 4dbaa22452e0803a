// Package workload measures the system against named workloads: it runs a real
// system on loopback with stand-in endpoints, and a naive dispatcher on the
// same endpoints in the same run, and reports both.
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

var schema = jsonfile.MustCompile("workload.schema.json", schemaText)

// Workload describes what is offered to the system.
type Workload struct {
	Name    string `json:"name"`
	Seed    uint64 `json:"seed"`
	Seconds int    `json:"duration_s"`
	Entries int    `json:"entries"`
	// Instances are the endpoints, spread over three availability zones.
	Instances int `json:"instances"`
	Slots     int `json:"slots"`
	// Speeds are given to the endpoints in turn.
	Speeds []float64 `json:"speeds"`
	// Failing is how many endpoints fail everything that they start.
	Failing int `json:"failing"`
	// LoadPercent is the offered work as a share of all slots at their speeds.
	LoadPercent float64 `json:"load_percent"`
	Tasks       Range   `json:"tasks"`
	TaskMS      Range   `json:"task_ms"`
	// Kinds is how many kinds of task there are, each with its part of the
	// run times: what a dispatcher can learn.
	Kinds int `json:"kinds"`
	// DeclaredError is the factor by which declared run times are off, up or
	// down; 0 declares none.
	DeclaredError float64 `json:"declared_error"`
	Teams         int     `json:"teams"`
	// FloodTeam submits this share of all jobs, in percent.
	FloodTeam float64 `json:"flood_team_percent"`
	// BurstJobs come at once every BurstSeconds.
	BurstSeconds int `json:"burst_every_s"`
	BurstJobs    int `json:"burst_jobs"`
	// CancelPercent of the jobs are cancelled by their callers.
	CancelPercent float64 `json:"cancel_percent"`
	// ZoneSeconds is the time after which one zone leaves, and for which it
	// is out; 0 keeps all in.
	ZoneSeconds int `json:"zone_cycle_s"`
	DeadlineMS  int `json:"deadline_ms"`
}

// Range is a range of whole numbers, both ends included.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Load reads and checks a workload file. Faults come as a *jsonfile.Error.
func Load(file string) (Workload, error) {
	var w Workload
	text, err := os.ReadFile(file)
	if err != nil {
		return w, fmt.Errorf("read the workload: %w", err)
	}
	src := jsonfile.Parse(file, text, schema)
	src.Decode(&w)
	checkRange(src, "/tasks", w.Tasks)
	checkRange(src, "/task_ms", w.TaskMS)
	if w.Failing > w.Instances {
		src.AddFinding("/failing", "more endpoints fail than there are")
	}
	return w, src.Err()
}

func checkRange(src *jsonfile.Source, pointer string, r Range) {
	if r.Min > r.Max {
		src.AddFinding(pointer+"/min", "is above max")
	}
}

// duration returns how long work is offered.
func (w Workload) duration() time.Duration { return time.Duration(w.Seconds) * time.Second }

// speed returns the speed of one endpoint.
func (w Workload) speed(instance int) float64 { return w.Speeds[instance%len(w.Speeds)] }

// capacity returns the slots weighted by speed, failing endpoints left out.
func (w Workload) capacity() float64 {
	total := 0.0
	for i := w.Failing; i < w.Instances; i++ {
		total += w.speed(i) * float64(w.Slots)
	}
	return total
}

// fastest returns the highest speed of an endpoint that works.
func (w Workload) fastest() float64 {
	best := 0.0
	for i := w.Failing; i < w.Instances; i++ {
		best = max(best, w.speed(i))
	}
	return best
}

// meanJob returns the mean work of a job, in seconds at speed 1.
func (w Workload) meanJob() float64 {
	tasks := float64(w.Tasks.Min+w.Tasks.Max) / 2
	each := float64(w.TaskMS.Min+w.TaskMS.Max) / 2 / 1000
	return tasks * each
}

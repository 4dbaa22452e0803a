package fit_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/fit"
	"github.com/savorystair/savorystair/internal/task/resources"
)

const ms = time.Millisecond

func free(milli, mb int) resources.Resources {
	return resources.Resources{CPUMilli: milli, MemoryMB: mb}
}

// Guards against placements that split the room for large tasks, delay a task
// noticeably, or fill fast endpoints that waiting work needs. Candidate 0 is an
// endpoint of speed 1.7, on which the task takes 60 ms; on 1 and 2, of speed 0.7, it
// takes 146 ms. The task needs 4.8 cores.
func TestChoose(t *testing.T) {
	fast := fit.Candidate{RunTime: 60 * ms, Free: free(9000, 900), Known: true}
	slow := func(milli, mb int) fit.Candidate {
		return fit.Candidate{RunTime: 146 * ms, Free: free(milli, mb), Known: true}
	}
	unknown := slow(4800, 100)
	unknown.Known = false
	longer := slow(4800, 100)
	longer.RunTime += 8 * ms
	waiting := fit.Waiting{Tasks: 1, Need: free(7200, 100), Due: 100 * ms, RelativeRunTime: 1.2}
	for _, tt := range []struct {
		name       string
		due        time.Duration
		waiting    fit.Waiting
		candidates []fit.Candidate
		want       int
	}{
		{"best fit by processor time", 400 * ms, fit.Waiting{}, []fit.Candidate{slow(20000, 900), slow(6000, 900), slow(8000, 900)}, 1},
		{"best fit by memory", 400 * ms, fit.Waiting{}, []fit.Candidate{slow(6000, 900), slow(6000, 200), slow(6000, 300)}, 1},
		{"not where it does not fit now", 400 * ms, fit.Waiting{}, []fit.Candidate{slow(9000, 900), slow(4700, 900), slow(8000, 900)}, 2},
		{"not by an outdated report", 400 * ms, fit.Waiting{}, []fit.Candidate{slow(9000, 900), unknown, slow(8000, 900)}, 2},
		{"not where it ends 8 ms later", 400 * ms, fit.Waiting{}, []fit.Candidate{slow(9000, 900), longer}, 0},
		{"first end without a due time", 0, fit.Waiting{}, []fit.Candidate{slow(9000, 900), slow(4800, 900)}, 0},
		{"first end if that is late", 100 * ms, fit.Waiting{}, []fit.Candidate{slow(9000, 900), slow(4800, 900)}, 0},
		{"fast endpoint if nothing waits", 400 * ms, fit.Waiting{}, []fit.Candidate{fast, slow(9000, 900)}, 0},
		{"fast endpoint is left to waiting work", 400 * ms, waiting, []fit.Candidate{fast, slow(9000, 900)}, 1},
		{"fast endpoint if the task needs it itself", 150 * ms, waiting, []fit.Candidate{fast, slow(9000, 900)}, 0},
		{"fast endpoint if another has room for waiting work", 400 * ms, waiting, []fit.Candidate{fast, fast, slow(9000, 900)}, 0},
		{"fast endpoints are left to several waiting tasks", 400 * ms, fit.Waiting{Tasks: 2, Need: waiting.Need, Due: 100 * ms, RelativeRunTime: 1.2}, []fit.Candidate{fast, fast, slow(9000, 900)}, 2},
		{"fast endpoint if waiting work is on time elsewhere", 400 * ms, fit.Waiting{Tasks: 1, Need: waiting.Need, Due: 300 * ms, RelativeRunTime: 1.2}, []fit.Candidate{fast, slow(9000, 900)}, 0},
	} {
		task := fit.Task{Need: free(4800, 100), Due: tt.due}
		if got := fit.Choose(0, task, tt.waiting, tt.candidates, 0); got != tt.want {
			t.Errorf("%s: chose %d, want %d", tt.name, got, tt.want)
		}
	}
}

package backfill_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/backfill"
	"github.com/savorystair/savorystair/internal/task/resources"
)

const ms = time.Millisecond

func cores(milli int) resources.Resources { return resources.Resources{CPUMilli: milli} }

// Guards against a reservation that holds tasks without need, and against none where
// it is needed. Of 9 cores, tasks that take 20 and 200 ms use 4 and 3; the head of the
// queue needs 5.
func TestDecide(t *testing.T) {
	for _, tt := range []struct {
		name string
		next backfill.Queued
		want string
	}{
		{"it ends before the reserved time", backfill.Queued{Need: cores(2000), Expected: 10 * ms}, "[reserved backfilled]"},
		{"it fits beside the reservation", backfill.Queued{Need: cores(1000), Expected: time.Second}, "[reserved backfilled]"},
		{"it delays the reserved task", backfill.Queued{Need: cores(2000), Expected: time.Second}, "[reserved held]"},
		{"it delays the reserved task by less than it would wait", backfill.Queued{Need: cores(2000), Expected: 16 * ms}, "[reserved backfilled]"},
	} {
		d := backfill.Decide(backfill.Input{
			Capacity: cores(9000),
			Running:  []backfill.Running{{Need: cores(4000), Expected: 20 * ms}, {Need: cores(3000), Expected: 200 * ms}},
			Queue:    []backfill.Queued{{Need: cores(5000), Expected: 50 * ms}, tt.next},
		})
		if got := fmt.Sprint(d.Verdicts); got != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, got, tt.want)
		}
	}
}

// Guards against a wrong estimate that idles an endpoint: the running task never ends.
func TestReservationLapses(t *testing.T) {
	in := backfill.Input{
		Capacity: cores(8000),
		Running:  []backfill.Running{{Need: cores(7000), Expected: 20 * ms}},
		Queue:    []backfill.Queued{{Need: cores(8000), Expected: 50 * ms}, {Need: cores(1000), Expected: 50 * ms}},
	}
	held := 0
	for in.Now = range 1000 {
		in.Now *= ms
		in.Running[0].Elapsed = in.Now
		d := backfill.Decide(in)
		if d.Verdicts[1] == backfill.Held {
			held++
		}
		in.Previous = d.Reservation
	}
	if held == 0 || held > 500 {
		t.Errorf("the small task was held in %d of 1000 ms, want some and at most half", held)
	}
}

// load is a steady load of an endpoint. Its queue always holds ten tasks, of which
// every 50th needs large.
type load struct {
	name        string
	cores       int
	speed       float64
	need        [2]int        // bounds, in thousandths of a core
	runTime     time.Duration // on an endpoint of speed 1
	estimate    float64       // assumed run time over the actual mean
	large       int
	firstFit    bool // starts whatever fits, as without reservations
	coreSeconds float64
	largeWait   time.Duration // the longest
}

type loadTask struct {
	queued, ends time.Duration // ends is the run time until the start
	backfill.Running
}

func (l *load) run(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	mean := float64(l.runTime) / l.speed
	var queue, running []loadTask
	in := backfill.Input{Capacity: cores(1000 * l.cores)}
	for n := 0; in.Now < 10*time.Second; in.Now += ms {
		running = slices.DeleteFunc(running, func(t loadTask) bool { return t.ends <= in.Now })
		for ; len(queue) < 10; n++ {
			t := loadTask{queued: in.Now, ends: time.Duration((0.6 + 0.8*rng.Float64()) * mean)}
			t.Running = backfill.Running{Need: cores(l.need[0] + rng.IntN(l.need[1]-l.need[0]+1)), Expected: time.Duration(l.estimate * mean)}
			if n%50 == 0 {
				t.Need = cores(l.large)
			}
			queue = append(queue, t)
		}
		free := in.Capacity
		in.Running, in.Queue = nil, nil
		for i := range running {
			free = free.Without(running[i].Need)
			in.Running = append(in.Running, running[i].Running)
			running[i].Elapsed += ms
		}
		for _, t := range queue {
			in.Queue = append(in.Queue, backfill.Queued{Need: t.Need, Expected: t.Expected})
		}
		d := backfill.Decide(in)
		in.Previous = d.Reservation
		var left []loadTask
		for i, t := range queue {
			if t.Need == cores(l.large) {
				l.largeWait = max(l.largeWait, in.Now-t.queued)
			}
			starts := d.Verdicts[i] == backfill.Start || d.Verdicts[i] == backfill.Backfill
			if l.firstFit && free.Covers(t.Need) || !l.firstFit && starts {
				free = free.Without(t.Need)
				t.ends += in.Now
				running = append(running, t)
				continue
			}
			if d.Reservation.Task == i {
				in.Previous.Task = len(left)
			}
			left = append(left, t)
		}
		queue = left
		l.coreSeconds += float64(in.Capacity.CPUMilli-free.CPUMilli) / 1e6
	}
}

// Guards against reservations that idle an endpoint or let large tasks wait without
// bound. Reservations hold half of the time or more until all running tasks have ended,
// so a large task starts within twice the longest run time. The work done may fall by the
// processor time that is kept free for it, but not by more than 1%, and not at all if
// the tasks are equal.
func TestLargeTasksAmongManySmallOnes(t *testing.T) {
	for _, l := range []load{
		{name: "large among small, slow endpoint", cores: 64, speed: 0.7, need: [2]int{2400, 2400}, runTime: 200 * ms, estimate: 1, large: 7200},
		{name: "large among small, long", cores: 64, speed: 0.7, need: [2]int{2400, 2400}, runTime: 900 * ms, estimate: 1, large: 7200},
		{name: "estimate 3 times too high", cores: 64, speed: 0.7, need: [2]int{2400, 2400}, runTime: 200 * ms, estimate: 3, large: 7200},
		{name: "estimate 3 times too low", cores: 64, speed: 0.7, need: [2]int{2400, 2400}, runTime: 200 * ms, estimate: 1. / 3, large: 7200},
		{name: "unequal, fast endpoint", cores: 96, speed: 1.7, need: [2]int{2400, 7200}, runTime: 60 * ms, estimate: 1, large: 7200},
		{name: "unequal, slow endpoint, long", cores: 64, speed: 0.7, need: [2]int{2400, 7200}, runTime: 900 * ms, estimate: 1, large: 7200},
		{name: "equal", cores: 64, speed: 0.7, need: [2]int{4800, 4800}, runTime: 200 * ms, estimate: 1, large: 4800},
	} {
		firstFit := l
		firstFit.firstFit = true
		for seed := range uint64(3) {
			firstFit.run(seed)
			l.run(seed)
		}
		t.Logf("%s: work %.0f, before %.0f core s; longest wait of a large task %s, before %s", l.name, l.coreSeconds, firstFit.coreSeconds, l.largeWait, firstFit.largeWait)
		least := 0.99 * firstFit.coreSeconds
		if l.need[0] == l.large {
			least = firstFit.coreSeconds
		}
		if l.coreSeconds < least {
			t.Errorf("%s: %.1f core seconds of work, want at least %.1f", l.name, l.coreSeconds, least)
		}
		if bound := time.Duration(2 * 1.4 * float64(l.runTime) / l.speed); l.largeWait > bound {
			t.Errorf("%s: a large task waited %s, want at most %s", l.name, l.largeWait, bound)
		}
	}
}

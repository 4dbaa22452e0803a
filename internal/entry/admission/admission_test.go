package admission_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/admission"
)

const (
	ms  = time.Millisecond
	now = time.Minute
)

// job returns a job with tasks of 5 cores that is due after 1.6 times its run time and
// 60 ms.
func job(priority, tasks int, run time.Duration) admission.Job {
	due := 60*ms + 8*run/5
	return admission.Job{
		Tasks: tasks, NeedMilli: 5000, RunTime: run, Longest: run, Due: now + due, Limit: now + 3*due,
		Urgency: admission.Urgency{Class: admission.OnTime, Priority: priority, LatestStart: now + due - run},
	}
}

// snapshot returns a service with observations and one agent of 60 cores, of which
// tasks of this entry, of 5 cores each, leave the given number free.
func snapshot(free int, running ...admission.Running) admission.Snapshot {
	for i := range running {
		running[i].NeedMilli = 5000
	}
	offered := 0
	if free > 0 {
		offered = 12
	}
	return admission.Snapshot{
		Now: now, Observations: 1000, LastObservation: now - 10*ms, Running: running,
		Members: []admission.Member{{
			CPUMilli: 60000, FreeMilli: 1000 * free, Slots: 12, Offered: offered, Own: len(running),
			MeanRunTime: 200 * ms, Speed: 1, ReportAge: 10 * ms, LinkAge: time.Minute,
		}},
	}
}

func repeat(r admission.Running, n int) (all []admission.Running) {
	for range n {
		all = append(all, r)
	}
	return all
}

// Short jobs arrive behind a few long tasks. The work of the long tasks isn't ahead of
// them if room is free or soon free: the rule by total backlog refused these.
func TestLongTasksAreNoBacklog(t *testing.T) {
	long := admission.Running{Elapsed: 100 * ms, Expected: 8 * time.Second}
	short := admission.Running{Elapsed: 150 * ms, Expected: 200 * ms}
	for _, tt := range []struct {
		name string
		s    admission.Snapshot
		want admission.Verdict
	}{
		{"room is free", snapshot(10, repeat(long, 10)...), admission.RoomFree},
		{"short tasks end soon", snapshot(0, append(repeat(long, 8), repeat(short, 4)...)...), admission.InTime},
		{"only long tasks run", snapshot(0, repeat(long, 12)...), admission.Refused},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if d := admission.Decide(&tt.s, job(1, 2, 200*ms)); d.Verdict != tt.want {
				t.Errorf("got %s with %+v, want %s", d.Verdict, d.Inputs, tt.want)
			}
		})
	}
}

// A kind has a tail: some tasks take seven times as long. A task that has run longer
// than expected is not about to end.
func TestRemainingTimeOfLateTasks(t *testing.T) {
	var ratios admission.Ratios
	for i := range 200 {
		run := 100 * ms
		if i%30 == 0 {
			run = 700 * ms
		}
		ratios = ratios.With(run, 100*ms)
	}
	wait := func(elapsed time.Duration) time.Duration {
		s := snapshot(0, repeat(admission.Running{Elapsed: elapsed, Expected: 100 * ms, Ratios: &ratios}, 12)...)
		return admission.Decide(&s, job(0, 1, 500*ms)).Inputs.ExpectedWait
	}
	if got := wait(50 * ms); got > 100*ms {
		t.Errorf("expected wait %s for tasks that are half done, want at most the rest", got)
	}
	if got := wait(200 * ms); got < 250*ms {
		t.Errorf("expected wait %s for tasks that belong to the tail, want most of the 500 ms that they need yet", got)
	}
}

// An estimate that is based on few, old or no observations refuses no job, nor do
// agents that appear one after the other, as after the loss of all hosts.
func TestUncertainEstimatesAdmit(t *testing.T) {
	for name, change := range map[string]func(s *admission.Snapshot){
		"few observations": func(s *admission.Snapshot) { s.Observations = 5 },
		"old observations": func(s *admission.Snapshot) { s.LastObservation = now - 10*time.Second },
		"new agent":        func(s *admission.Snapshot) { s.Members[0].LinkAge = 100 * ms },
		"no agent":         func(s *admission.Snapshot) { s.Members = nil },
	} {
		s := snapshot(0, repeat(admission.Running{Expected: 9 * time.Second}, 12)...)
		if d := admission.Decide(&s, job(0, 1, 50*ms)); d.Verdict != admission.Refused || d.RetryAfter < time.Second {
			t.Fatalf("got %s, retry after %s, want a refusal until the tasks of 9 s end", d.Verdict, d.RetryAfter)
		}
		change(&s)
		if d := admission.Decide(&s, job(0, 1, 50*ms)); d.Verdict != admission.Uncertain {
			t.Errorf("%s: got %s, want %s", name, d.Verdict, admission.Uncertain)
		}
	}
}

// The room that frees soon suffices for an urgent job or for the waiting ones of lower
// priority. Those that can't be of use then are refused, and no others.
func TestUrgentJobDisplaces(t *testing.T) {
	s := snapshot(0, append(repeat(admission.Running{Elapsed: 190 * ms, Expected: 200 * ms}, 2), repeat(admission.Running{Expected: 9 * time.Second}, 10)...)...)
	waits := job(2, 2, 300*ms)
	fixed, promoted, late := waits, waits, waits
	fixed.Fixed = true
	promoted.Urgency.Class = admission.Promoted
	late.Urgency.Class, late.Limit = admission.Late, now+320*ms
	s.Waiting = []admission.Job{fixed, late}
	d := admission.Decide(&s, job(0, 2, 100*ms))
	if d.Verdict != admission.Displacing || len(d.Displaced) != 1 || d.Displaced[0].Index != 1 || d.Displaced[0].RetryAfter <= 0 {
		t.Errorf("got %s, displaced %+v, want the job that is late", d.Verdict, d.Displaced)
	}
	s.Waiting = []admission.Job{promoted}
	if d := admission.Decide(&s, job(0, 2, 100*ms)); len(d.Displaced) > 0 {
		t.Errorf("displaced %+v, want no promoted job", d.Displaced)
	}
}

// During a long overload of 150% by urgent jobs, all jobs of the lowest priority would
// be refused. A tenth of their work is admitted and promoted.
func TestGuaranteedShare(t *testing.T) {
	s := snapshot(0, repeat(admission.Running{Expected: 9 * time.Second}, 12)...)
	var share admission.Share
	admitted := 0
	for i := range 300 {
		at := time.Duration(i) * 200 * ms
		s.Owed = share.Owed()
		share = share.Offered(at, 1)
		if d := admission.Decide(&s, job(2, 1, 100*ms)); d.Verdict == admission.Guaranteed {
			admitted++
			share = share.Admitted(at, 1)
		} else if d.Verdict != admission.Refused {
			t.Fatalf("got %s, want a refusal or the guaranteed share", d.Verdict)
		}
	}
	if admitted < 25 || admitted > 40 {
		t.Errorf("%d of 300 jobs admitted, want a tenth", admitted)
	}
}

func BenchmarkDecide(b *testing.B) {
	s := snapshot(0, repeat(admission.Running{Elapsed: 50 * ms, Expected: 400 * ms}, 80)...)
	for len(s.Members) < 80 {
		s.Members = append(s.Members, s.Members[0])
	}
	for i := range s.Members {
		s.Members[i].Own, s.Members[i].Others = 1, 9
	}
	for i := range 50 {
		s.Waiting = append(s.Waiting, job(i/25, 4, 200*ms))
	}
	b.Run("50 jobs wait", func(b *testing.B) {
		for b.Loop() {
			admission.Decide(&s, job(0, 4, 200*ms))
		}
	})
	s.Waiting = nil
	s.Members[40].Offered, s.Members[40].FreeMilli = 12, 60000
	b.Run("room is free", func(b *testing.B) {
		for b.Loop() {
			admission.Decide(&s, job(0, 4, 200*ms))
		}
	})
}

// A job that declares days must not make its kind owed for minutes: all later jobs of the
// kind would be admitted and go first.
func TestDeclaredDaysDontInflateTheShare(t *testing.T) {
	huge, usual := job(1, 2, 200*ms), job(1, 2, 200*ms)
	huge.RunTime = 1000 * time.Hour
	if got, most := huge.UsefulWork(now), 10*usual.UsefulWork(now); got > most {
		t.Errorf("work %.0f of a job that declares 1000 h, want at most %.0f", got, most)
	}
}

// Guards against an overflow of the expected wait, by which a job without room would be
// admitted as one that ends in time.
func TestLongLimitWithoutRoom(t *testing.T) {
	s := snapshot(0)
	j := job(1, 1000, 200*ms)
	j.Limit = now + 100_000*time.Hour
	if d := admission.Decide(&s, j); d.Inputs.ExpectedWait <= 0 || d.RetryAfter < 0 {
		t.Errorf("expected wait %s, retry after %s, want them positive", d.Inputs.ExpectedWait, d.RetryAfter)
	}
}

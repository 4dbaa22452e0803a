package caller_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystair/savorystair/internal/entry/caller"
)

// maxNoticeDelay bounds the time after a freeze until an entry learns which callers
// have disconnected meanwhile. Messages of agents that waited for it come first.
const maxNoticeDelay = 90 * ms

// reportDisconnect informs an entry that a caller has disconnected.
func (sim *simulation) reportDisconnect(e *simEntry, ev caller.Disconnected) {
	inc := e.inc
	if !e.frozen || !e.paused {
		sim.deliverToEntry(e, inc, ev)
		return
	}
	leftAt := sim.now
	e.deferred = append(e.deferred, func() {
		delay := sim.randomDuration(0, maxNoticeDelay)
		if sim.suspends {
			delay = nextRetransmission(leftAt, sim.now) - sim.now
		}
		sim.after(delay, func() { sim.deliverToEntry(e, inc, ev) })
	})
}

// nextRetransmission returns when TCP sends a segment again for the first time after a
// host has woken. Its intervals double, beginning with 200 ms.
func nextRetransmission(sentAt, wokenAt time.Duration) time.Duration {
	at := sentAt
	for interval := 200 * ms; at < wokenAt; interval *= 2 {
		at += interval
	}
	return at
}

// freezeEntry pauses an entry. Most of its callers disconnect during the first half
// of the pause.
func (sim *simulation) freezeEntry(e *simEntry, length time.Duration) {
	if !e.alive || e.paused || length < 2*ms {
		return
	}
	e.frozen = true
	sim.pause(&e.proc, length)
	for _, c := range sim.connections {
		if c.entry == e && sim.rng.IntN(4) > 0 {
			sim.after(sim.randomDuration(0, length/2), c.disconnect)
		}
	}
}

// freezeSchedules draws schedules in which about every third disturbance is a freeze
// of an entry, which a second one may follow at once.
var freezeSchedules = rapid.Custom(func(t *rapid.T) schedule {
	s := schedules.Draw(t, "schedule")
	for i := range s.Disturbances {
		if i > 0 && drawUniform(t, 3) > 0 {
			continue
		}
		d := &s.Disturbances[i]
		d.Kind = freezeEntry
		s.Jobs = append(s.Jobs, submission{
			Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"),
			At:    []int{max(0, d.At-10-drawUniform(t, 400))},
			Entry: []int{d.Target % simEntries},
		})
		if drawUniform(t, 2) == 0 {
			again := *d
			again.At += 2*d.For + 1 + drawUniform(t, 60)
			s.Disturbances = append(s.Disturbances, again)
		}
	}
	return s
})

// TestRepeatableFreezeSchedules checks the same as TestRepeatableSchedules, in which
// entries learn after a pause at once which callers have left. It guards against tasks
// that are placed after a freeze for callers that have submitted the job again. It runs
// a quarter of the schedules.
func TestRepeatableFreezeSchedules(t *testing.T) {
	const batch = 50
	end := *scheduleFirst + max(1, *scheduleCount/4)
	for first := *scheduleFirst; first < end; first += batch {
		t.Run(fmt.Sprintf("from %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < min(first+batch, end); seed++ {
				if violations := runRepeatableSchedule(seed, freezeSchedules.Example(seed), false); len(violations) > 0 {
					t.Errorf("go test ./internal/entry/caller -run TestRepeatableFreezeSchedules$ -schedules 1 -first %d: %+v\n%q", seed, freezeSchedules.Example(seed), violations)
					return
				}
			}
		})
	}
}

// suspensionSchedules draws freezeSchedules in which jobs are also submitted to frozen
// entries.
var suspensionSchedules = rapid.Custom(func(t *rapid.T) schedule {
	s := freezeSchedules.Draw(t, "schedule")
	for _, d := range s.Disturbances {
		if d.Kind == freezeEntry {
			s.Jobs = append(s.Jobs, submission{
				Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"),
				At:    []int{d.At + drawUniform(t, 2*d.For+1)},
				Entry: []int{d.Target % simEntries},
			})
		}
	}
	return s
})

// runSuspensionSchedule runs a schedule in which the hosts of frozen entries receive
// nothing: the end of a connection arrives with the first retransmission after that.
func runSuspensionSchedule(seed int, unreadSince bool) []string {
	sim := newRepeatableSimulation(seed, false)
	sim.suspends, sim.hidesArrival = true, !unreadSince
	return sim.runSchedule(suspensionSchedules.Example(seed))
}

// TestRepeatableSuspensionSchedules checks the same as TestRepeatableSchedules on hosts
// that are suspended. It guards against tasks that are placed for a submission that has
// lain unread since, and whose caller has submitted the job again. It runs a quarter of
// the schedules.
func TestRepeatableSuspensionSchedules(t *testing.T) {
	const batch = 50
	end := *scheduleFirst + max(1, *scheduleCount/4)
	for first := *scheduleFirst; first < end; first += batch {
		t.Run(fmt.Sprintf("from %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < min(first+batch, end); seed++ {
				if violations := runSuspensionSchedule(seed, true); len(violations) > 0 {
					t.Errorf("go test ./internal/entry/caller -run TestRepeatableSuspensionSchedules$ -schedules 1 -first %d: %+v\n%q", seed, suspensionSchedules.Example(seed), violations)
					return
				}
			}
		})
	}
}

// TestSuspensionSchedulesFindUnreadSubmissions verifies that the schedules detect the
// fault: an entry that takes unread submissions for new places tasks twice.
func TestSuspensionSchedulesFindUnreadSubmissions(t *testing.T) {
	t.Parallel()
	for seed := 1; seed <= 500; seed++ {
		if len(runSuspensionSchedule(seed, false)) > 0 {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Error("none of the 500 schedules detects that unread submissions are taken for new")
}

// A caller leaves while its entry is frozen and submits the job elsewhere. The entry
// must not place the task again when it runs on, although it learns of that late.
func TestFrozenEntryPlacesNothingForCallersThatLeft(t *testing.T) {
	sim := newSimulation(1, 2, 0)
	sim.leased, sim.runTime = true, 4*time.Second
	a := &simAgent{zone: "a", speed: 1}
	sim.agents = append(sim.agents, a)
	sim.startAgent(a)
	sim.run(time.Second)
	j := newSimJob(0, 1)
	sim.jobs = append(sim.jobs, j)
	sim.submitRepeatable(j, sim.entries[0], 0)
	sim.run(1500 * ms)
	frozen := sim.entries[0]
	frozen.frozen = true
	sim.pause(&frozen.proc, 1700*ms)
	sim.after(100*ms, sim.connections[0].disconnect)
	sim.run(4 * time.Second)
	if sim.runCounts["j0.0.0"] != 1 {
		t.Errorf("%d runs of the task after its caller has submitted it elsewhere, want 1", sim.runCounts["j0.0.0"])
	}
	for _, v := range sim.violations {
		t.Error(v)
	}
}

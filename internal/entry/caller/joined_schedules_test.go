package caller_test

import (
	"fmt"
	"testing"

	"github.com/savorystair/savorystair/internal/entry/caller"
)

// maxUnreadDelay bounds the time from an entry's read of a request whose connection
// has broken until it learns of the break.
const maxUnreadDelay = 50 * ms

// unreadID returns the id of the first submission of deliverTwice.
func unreadID(id string) string { return id + "-unread" }

// deliverTwice delivers a submission that its caller has made before, over a
// connection that broke with the request unread. The entry reads both in any order,
// and learns afterwards that the first caller has left.
func (sim *simulation) deliverTwice(e *simEntry, sub caller.Submit) {
	inc := e.inc
	unread := sub
	unread.Ticket = sim.newTicket(e, func(caller.Answer, bool) {})
	unread.Job.ID = unreadID(sub.Job.ID)
	first, second := unread, sub
	if sim.rng.IntN(2) == 0 {
		first, second = sub, unread
	}
	sim.deliverToEntry(e, inc, first)
	sim.deliverToEntry(e, inc, second)
	sim.after(sim.randomDuration(0, maxUnreadDelay), func() {
		if e.inc == inc {
			sim.reportDisconnect(e, caller.Disconnected{Ticket: unread.Ticket})
		}
	})
}

// TestRepeatableJoinedSchedules checks the same as TestRepeatableSchedules, with
// callers that submit each job twice to the same entry. It guards against jobs that
// run on after all of their callers have left. It runs a quarter of the schedules.
func TestRepeatableJoinedSchedules(t *testing.T) {
	const batch = 50
	end := *scheduleFirst + max(1, *scheduleCount/4)
	for first := *scheduleFirst; first < end; first += batch {
		t.Run(fmt.Sprintf("from %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < min(first+batch, end); seed++ {
				sim := newRepeatableSimulation(seed, false)
				sim.submitsTwice = true
				if violations := sim.runSchedule(schedules.Example(seed)); len(violations) > 0 {
					t.Errorf("go test ./internal/entry/caller -run TestRepeatableJoinedSchedules$ -schedules 1 -first %d: %+v\n%q", seed, schedules.Example(seed), violations)
					return
				}
			}
		})
	}
}

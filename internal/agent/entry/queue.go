package entry

import (
	"time"

	"github.com/savorystair/savorystair/internal/agent/backfill"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// startQueued starts the queued tasks that the view and package backfill allow. A
// task that only waits for a confirmation of the view is refused after
// viewWaitTimeout.
func (s *State) startQueued(now time.Duration) {
	if !s.acceptsStarts() {
		s.refuseAllQueued(s.closedReason())
		return
	}
	if len(s.queue) == 0 {
		return
	}
	s.sortQueue(now)
	decision := s.decide(now)
	queue := s.queue
	s.queue = nil
	waitsForView := false
	for i, r := range queue {
		verdict := decision.Verdicts[i]
		switch {
		case verdict != backfill.Start && verdict != backfill.Backfill:
			s.queue = append(s.queue, r)
			s.recordPlacement(now, r, verdict)
		case s.view.allowsStarts(now):
			s.recordPlacement(now, r, verdict)
			s.startTask(now, r)
		case now-r.queuedAt >= viewWaitTimeout:
			s.refuseQueued(r, reason.ViewUnconfirmed)
		default:
			waitsForView = true
			s.queue = append(s.queue, r)
		}
	}
	if waitsForView {
		s.requestView(now)
	}
}

// decide applies package backfill to the queue.
func (s *State) decide(now time.Duration) backfill.Decision {
	in := backfill.Input{
		Now:      now,
		Capacity: s.endpoint.Capacity,
		Slots:    s.endpoint.Slots,
		Running:  make([]backfill.Running, len(s.runningTasks)),
		Queue:    make([]backfill.Queued, len(s.queue)),
	}
	for i, r := range s.runningTasks {
		in.Running[i] = backfill.Running{Need: r.needs, Elapsed: now - r.startedAt, Expected: r.expected}
	}
	for i, r := range s.queue {
		in.Queue[i] = backfill.Queued{Need: r.needs, Expected: s.expectedRunTime(r)}
		if r == s.reservedTask {
			in.Previous = s.reservation
			in.Previous.Task = i
		}
	}
	d := backfill.Decide(in)
	s.reservation, s.reservedTask = d.Reservation, nil
	if d.Reservation.Active {
		s.reservedTask = s.queue[d.Reservation.Task]
	}
	return d
}

// recordPlacement records the first time that a task is reserved capacity, is held,
// or starts before a reserved one.
func (s *State) recordPlacement(now time.Duration, r *taskRecord, v backfill.Verdict) {
	if v == r.verdict || v == backfill.Start || v == backfill.DoesNotFit {
		return
	}
	r.verdict = v
	s.actions = append(s.actions, RecordPlacement{
		Ref:       r.ref,
		Verdict:   v,
		Need:      r.needs,
		Free:      s.endpoint.Capacity.Without(s.usedResources),
		QueuedFor: now - r.queuedAt,
		FitsIn:    s.reservation.At - now,
		HoldLimit: s.reservation.Limit,
		Running:   s.runningCount,
		Ratio:     s.runTimeRatio.value(),
	})
}

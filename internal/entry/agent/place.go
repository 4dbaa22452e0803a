package agent

import (
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/task/resources"
)

const (
	// staleReport is after how long an agent that reported no room is tried
	// again although it has not reported any.
	staleReport = time.Second
	// freshReport is how old a report may be to be taken at its word. On an
	// older one the agent is sent a single start, and asked for a new report.
	freshReport = 100 * time.Millisecond
	// refusalDelay is how long a member is left alone after one refusal.
	refusalDelay = 5 * time.Millisecond
	// maxRefusalDelay bounds the delay after refusals in a row.
	maxRefusalDelay = 500 * time.Millisecond
	// failuresOut is how many failures in a row take a member out.
	failuresOut = 3
	// failureDelay is how long a member is out after the last of them.
	failureDelay = 500 * time.Millisecond
	// maxFailureDelay bounds the time for which a failing member is out.
	maxFailureDelay = 30 * time.Second
	// maxDoublings keeps the doubled delay from overflowing.
	maxDoublings = 16
	// defaultRun is the expected run time of a task of which nothing is known.
	defaultRun = 100 * time.Millisecond
)

// Need is what a task asks of a member.
type Need struct {
	Service  string
	Kind     string
	MemoryMB int
	// Declared is the run time that the caller declared, or 0.
	Declared time.Duration
	// Need and Label are what an endpoint must have.
	Need  resources.Resources
	Label string
	// Due is when the task is to have ended; 0 means that it does not matter.
	Due time.Duration
	// Claimed says that the task belongs to a claimed job, which may use only
	// members of the roster writes up to Roster.
	Claimed bool
	Roster  uint64
}

// Runnable reports whether any member could ever run the task, and whether
// the service has members at all.
func (p *Pool) Runnable(n Need) (served, runnable bool) {
	for _, m := range p.byService[n.Service] {
		served = true
		if m.fits(n) {
			return true, true
		}
	}
	return served, false
}

// HasRoom reports whether any member of a service can be sent a task.
func (p *Pool) HasRoom(now time.Duration, service string) bool {
	failing := !p.healthy(service)
	for _, m := range p.byService[service] {
		if m.usable(now, failing) && m.room(now) > 0 {
			return true
		}
	}
	return false
}

// healthy reports whether the service has a member that isn't failing. When all
// fail, the fault is likely with the tasks, and none is left out for it.
func (p *Pool) healthy(service string) bool {
	for _, m := range p.byService[service] {
		if m.Linked && m.Open && !m.Out && !m.Failing() {
			return true
		}
	}
	return false
}

// Capacity returns the slots of a service that tasks can be sent to, weighted by
// the speed of their members, and those of them that other entries don't use.
func (p *Pool) Capacity(service string) (total, unused float64) {
	usual := p.serviceTimes(service).mean
	for _, m := range p.byService[service] {
		if !m.Linked || !m.Open || m.Out || m.Failing() {
			continue
		}
		speed := 1.0
		if m.runTimes.mean > 0 {
			speed = float64(usual) / float64(m.runTimes.mean)
		}
		others := max(0, m.running+m.queued-m.yours)
		total += speed * float64(m.slots)
		unused += speed * float64(max(0, m.slots-others))
	}
	return total, unused
}

// Pick returns the member where the task is expected to end first, or nil when
// none has room. It also returns nil when the task would be late there, and on
// time at a faster member that is full now: endpoints differ in speed by more
// than what jobs are given to spare.
func (p *Pool) Pick(now time.Duration, n Need) *Member {
	var best *Member
	var bestEnd time.Duration
	held := false
	failing := !p.healthy(n.Service)
	for _, m := range p.byService[n.Service] {
		if !m.usable(now, failing) || !m.allowed(n) || !m.fits(n) {
			continue
		}
		run := p.expected(m, n)
		if m.room(now) <= 0 {
			held = held || n.onTime(now+m.next(now), run)
			continue
		}
		end := now + m.wait(now) + run
		if best == nil || end < bestEnd {
			best, bestEnd = m, end
		}
	}
	if held && best != nil && !n.onTime(bestEnd-p.expected(best, n), p.expected(best, n)) {
		return nil
	}
	return best
}

// runSpread is by which factor a run may take longer than expected and still be
// counted on: run times of a job's tasks differ by 15%.
const runSpread = 1.15

// onTime reports whether the task is expected to be on time if it begins at a
// clock reading and takes run.
func (n Need) onTime(begin, run time.Duration) bool {
	return n.Due > 0 && begin+time.Duration(runSpread*float64(run)) <= n.Due
}

// next returns how long until a full member is expected to have room.
func (m *Member) next(now time.Duration) time.Duration {
	each := m.runTimes.mean
	if each == 0 {
		each = defaultRun
	}
	ahead := max(1, m.load(now)-m.slots+1)
	return each * time.Duration(ahead) / time.Duration(max(1, m.slots))
}

// Expected returns the run time that the task is expected to have on an
// average member of its service.
func (p *Pool) Expected(n Need) time.Duration {
	if t, ok := p.serviceTimes(n.Service).of(n.Kind, n.Declared); ok {
		return t
	}
	if n.Declared > 0 {
		return n.Declared
	}
	return defaultRun
}

// expected returns the run time that the task is expected to have on m.
func (p *Pool) expected(m *Member, n Need) time.Duration {
	if t, ok := m.runTimes.of(n.Kind, n.Declared); ok {
		return t
	}
	usual := p.Expected(n)
	all := p.serviceTimes(m.Service).mean
	if m.runTimes.mean == 0 || all == 0 {
		return usual
	}
	return time.Duration(float64(usual) * float64(m.runTimes.mean) / float64(all))
}

// usable reports whether the member may be sent a task; one that is out for
// failing only if failing ones are wanted too.
func (m *Member) usable(now time.Duration, failing bool) bool {
	return m.Linked && m.Open && !m.Out && now >= m.retryAt && (failing || now >= m.outUntil)
}

// allowed reports whether whoever takes the job over would know to fence m.
func (m *Member) allowed(n Need) bool {
	return !n.Claimed || m.Roster > 0 && m.Roster <= n.Roster
}

func (m *Member) fits(n Need) bool {
	if m.MemoryMB > 0 && n.MemoryMB > m.MemoryMB {
		return false
	}
	if !m.Capacity.IsZero() && !m.Capacity.Holds(n.Need) {
		return false
	}
	if n.Label != "" && !slices.Contains(m.Labels, n.Label) {
		return false
	}
	return len(m.Kinds) == 0 || slices.Contains(m.Kinds, n.Kind)
}

// load returns how many tasks the agent has, as far as can be known: this
// entry's, and those that others had at the last report, which are taken to
// end one after another.
func (m *Member) load(now time.Duration) int {
	others := max(0, m.running+m.queued-m.yours)
	if each := m.runTimes.mean; each > 0 && m.slots > 0 {
		ended := (now - m.reported) * time.Duration(m.slots) / each
		others = max(0, others-int(ended))
	}
	return len(m.Work) + others
}

// room returns how many more tasks the agent takes: what it last offered, less
// what it had not seen by then. An agent tells when it has room again.
func (m *Member) room(now time.Duration) int {
	if m.offered == 0 && now-m.reported > staleReport && len(m.Work) == 0 {
		return 1
	}
	offered := m.offered
	if m.Stale(now) || m.Failing() {
		offered = min(offered, 1)
	}
	return offered - max(0, len(m.Work)-m.yours)
}

// Stale reports whether the member's last report is too old to be taken at its
// word.
func (m *Member) Stale(now time.Duration) bool { return now-m.reported > freshReport }

// wait returns how long a new task is expected to wait for a slot.
func (m *Member) wait(now time.Duration) time.Duration {
	ahead := m.load(now) - m.slots + 1
	if ahead <= 0 || m.slots == 0 {
		return 0
	}
	each := m.runTimes.mean
	if each == 0 {
		each = defaultRun
	}
	return each * time.Duration(ahead) / time.Duration(m.slots)
}

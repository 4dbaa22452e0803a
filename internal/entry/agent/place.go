package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/entry/fit"
	"github.com/savorystair/savorystair/internal/task/resources"
)

const (
	// noRoomRetryAfter is how long a load report without room keeps a member
	// that has no open tasks of this entry from being sent one.
	noRoomRetryAfter = time.Second
	// maxReportAge is the age up to which all starts that a load report offers
	// are used. After that, the agent is sent one start at a time and pinged for
	// a new report.
	maxReportAge = 100 * time.Millisecond
	// firstRefusalDelay is how long a member is sent no task after one refusal.
	firstRefusalDelay = 5 * time.Millisecond
	// maxRefusalDelay bounds the delay after consecutive refusals.
	maxRefusalDelay = 500 * time.Millisecond
	// suspendAfterFailedJobs is how many consecutive failed jobs suspend a
	// member.
	suspendAfterFailedJobs = 3
	// firstSuspension is how long a member is suspended after
	// suspendAfterFailedJobs failed jobs.
	firstSuspension = 500 * time.Millisecond
	// maxSuspension bounds the suspension after further failures.
	maxSuspension = 30 * time.Second
	// maxDoublings bounds the doublings of a delay, so that it can't overflow.
	maxDoublings = 16
	// defaultRunTime is the expected run time of a task that declares none and
	// whose kind has not been measured.
	defaultRunTime = 100 * time.Millisecond
)

// Requirements describes what a task requires of the member that runs it.
type Requirements struct {
	Service  string
	Kind     string
	MemoryMB int
	// DeclaredRunTime is the run time that the caller declared; 0 if it declared
	// none.
	DeclaredRunTime time.Duration
	// DefaultRunTime is the expected run time of a task that declares none and whose
	// kind has not been measured; 0 stands for defaultRunTime.
	DefaultRunTime time.Duration
	// Resources is what the task occupies while it runs. It must fit into the
	// total capacity of the endpoint.
	Resources resources.Resources
	// Label is a label that the endpoint must have; "" if none is required.
	Label string
	// Due is the time by which the task should end; 0 means no such time.
	Due time.Duration
	// Waiting describes tasks that are placed next, for which room may be left.
	Waiting fit.Waiting
	// Isolated reports whether the member must have no suspect among its open
	// tasks.
	Isolated bool
	// Claimed reports whether the task belongs to a claimed job. Such a job may
	// use only members that are listed by the roster writes up to RosterWrite.
	Claimed     bool
	RosterWrite uint64
}

// Runnable reports whether the service has any members, and whether one of them
// meets the requirements of the task, regardless of its present load.
func (p *Pool) Runnable(r Requirements) (served, runnable bool) {
	for _, m := range p.byService[r.Service] {
		served = true
		if m.fits(r) {
			return true, true
		}
	}
	return served, false
}

// HasRoom reports whether any member of a service can be sent a task now.
func (p *Pool) HasRoom(now time.Duration, service string) bool {
	includeSuspended := !p.hasHealthyMember(service)
	for _, m := range p.byService[service] {
		if m.usable(now, includeSuspended) && m.roomLeft(now) > 0 {
			return true
		}
	}
	return false
}

// hasHealthyMember reports whether the service has a member in service (linked,
// accepting starts and not taken out by the configuration) that isn't failing. If
// all members in service fail, the fault probably lies with the tasks, and
// suspended members are used too.
func (p *Pool) hasHealthyMember(service string) bool {
	for _, m := range p.byService[service] {
		if m.Linked && m.AcceptsStarts && !m.OutOfService && !m.Failing() {
			return true
		}
	}
	return false
}

// Capacity returns the number of slots of a service on members in service that
// aren't failing, and how many of these the tasks of other entries leave
// unused. Each slot is weighted by the speed of its member relative to the mean
// of the service.
func (p *Pool) Capacity(service string) (total, unused float64) {
	for _, m := range p.byService[service] {
		if !m.Linked || !m.AcceptsStarts || m.OutOfService || m.Failing() {
			continue
		}
		speed := p.relativeSpeed(m)
		otherTasks := max(0, m.running+m.queued-m.reportedOwn)
		total += speed * float64(m.slots)
		unused += speed * float64(max(0, m.slots-otherTasks))
	}
	return total, unused
}

// Pick returns a member with room for the task, or nil if no member has room. Of the
// members on which the task is expected to end about first, it is the one that package
// fit chooses. Pick also returns nil if the task is expected to end after its due time
// on every member with room, but in time on a faster member that is full now. Waiting
// for the faster member pays because endpoints differ in speed by more than the slack
// in the due times.
func (p *Pool) Pick(now time.Duration, r Requirements) *Member {
	p.pickable, p.candidates = p.pickable[:0], p.candidates[:0]
	earliest := -1
	onTimeOnceFree := false
	includeSuspended := !p.hasHealthyMember(r.Service)
	estimate := p.estimateOf(&r)
	for _, m := range p.byService[r.Service] {
		if !m.usable(now, includeSuspended) || !m.allowedByRoster(r) || !m.fits(r) || r.Isolated && len(m.Suspects) > 0 {
			continue
		}
		runTime := estimate.on(m)
		if m.roomLeft(now) <= 0 {
			onTimeOnceFree = onTimeOnceFree || fit.OnTime(now+m.timeUntilRoom(now), runTime, r.Due)
			continue
		}
		begin := now + m.expectedWait(now, r.Resources)
		if earliest < 0 || begin+runTime < p.candidates[earliest].Begin+p.candidates[earliest].RunTime {
			earliest = len(p.candidates)
		}
		p.pickable = append(p.pickable, m)
		p.candidates = append(p.candidates, fit.Candidate{
			Begin: begin, RunTime: runTime, Free: m.freeResources.Without(m.unreported), Known: m.knownFree(now),
		})
	}
	if earliest < 0 {
		return nil
	}
	first := p.candidates[earliest]
	if onTimeOnceFree && !fit.OnTime(first.Begin, first.RunTime, r.Due) {
		return nil
	}
	return p.pickable[fit.Choose(now, fit.Task{Need: r.Resources, Due: r.Due}, r.Waiting, p.candidates, earliest)]
}

// knownFree reports whether the free resources by the latest report of m are likely to
// be free still: no task is expected to have ended since the report, and another
// entry's to have taken its place.
func (m *Member) knownFree(now time.Duration) bool {
	if m.Capacity.IsZero() || m.HasStaleReport(now) {
		return false
	}
	return (now-m.reportedAt)*time.Duration(m.running) < m.meanRunTime()
}

// timeUntilRoom returns how long it is expected to take until a full member has
// room.
func (m *Member) timeUntilRoom(now time.Duration) time.Duration {
	tasksAhead := max(1, m.estimatedTasks(now)-m.slots+1)
	return m.meanRunTime() * time.Duration(tasksAhead) / time.Duration(max(1, m.slots))
}

// ExpectedRunTime returns the expected run time of the task on an average member
// of its service.
func (p *Pool) ExpectedRunTime(r Requirements) time.Duration {
	if t, ok := p.serviceRunTimes(r.Service).expected(r.Kind, r.DeclaredRunTime); ok {
		return t
	}
	return cmp.Or(r.DeclaredRunTime, r.DefaultRunTime, defaultRunTime)
}

// usable reports whether the member is in service and not in a delay after
// refusals or failures. With includeSuspended, the suspension after failures
// is ignored.
func (m *Member) usable(now time.Duration, includeSuspended bool) bool {
	return m.Linked && m.AcceptsStarts && !m.Released && !m.OutOfService && now >= m.retryAt && (includeSuspended || now >= m.suspendedUntil)
}

// allowedByRoster reports whether the task's job may use m. An entry that takes
// over a claimed job fences only the members that the roster lists, so a claimed
// job must not use others.
func (m *Member) allowedByRoster(r Requirements) bool {
	return !r.Claimed || m.RosterWrite > 0 && m.RosterWrite <= r.RosterWrite
}

// fits reports whether the member meets the requirements of the task,
// regardless of its present load.
func (m *Member) fits(r Requirements) bool {
	if m.MemoryMB > 0 && r.MemoryMB > m.MemoryMB {
		return false
	}
	if !m.Capacity.IsZero() && !m.Capacity.Covers(r.Resources) {
		return false
	}
	if r.Label != "" && (m.undescribed || !slices.Contains(m.Labels, r.Label)) {
		return false
	}
	return len(m.Kinds) == 0 || slices.Contains(m.Kinds, r.Kind)
}

// estimatedTasks returns the estimated number of tasks at the agent: those of
// this entry, plus those that other entries had at the latest report. The
// latter are assumed to end at the member's mean rate since then.
func (m *Member) estimatedTasks(now time.Duration) int {
	otherTasks := max(0, m.running+m.queued-m.reportedOwn)
	if meanRunTime := m.runTimes.mean; meanRunTime > 0 && m.slots > 0 {
		ended := (now - m.reportedAt) * time.Duration(m.slots) / meanRunTime
		otherTasks = max(0, otherTasks-int(ended))
	}
	return len(m.OpenTasks) + otherTasks
}

// roomLeft returns how many more tasks can be sent to the agent: the starts that
// its latest report offered, less the tasks sent that the report does not
// include. An agent that is full reports when it has room again.
func (m *Member) roomLeft(now time.Duration) int {
	if m.offeredStarts == 0 && now-m.reportedAt > noRoomRetryAfter && len(m.OpenTasks) == 0 {
		return 1
	}
	offered := m.offeredStarts
	if m.HasStaleReport(now) || m.Failing() {
		offered = min(offered, 1)
	}
	return offered - max(0, len(m.OpenTasks)-m.reportedOwn)
}

// HasStaleReport reports whether the member's latest load report is older than
// maxReportAge.
func (m *Member) HasStaleReport(now time.Duration) bool { return now-m.reportedAt > maxReportAge }

// expectedWait returns how long a task with the given need is expected to wait at
// the agent.
func (m *Member) expectedWait(now time.Duration, need resources.Resources) time.Duration {
	if m.Capacity.CPUMilli > 0 && need.CPUMilli > 0 {
		return m.expectedWaitForCPU(now, need)
	}
	tasksAhead := m.estimatedTasks(now) - m.slots + 1
	if tasksAhead <= 0 || m.slots == 0 {
		return 0
	}
	return m.meanRunTime() * time.Duration(tasksAhead) / time.Duration(m.slots)
}

// expectedWaitForCPU returns how long a task is expected to wait until its need
// of processor time is free. An endpoint whose slots by the average need are not
// all used may still lack the room for a larger task.
func (m *Member) expectedWaitForCPU(now time.Duration, need resources.Resources) time.Duration {
	running := max(1, m.running)
	needOfOthers := max(1, (m.Capacity.CPUMilli-m.freeResources.CPUMilli)/running)
	ended := int((now - m.reportedAt) * time.Duration(m.running) / m.meanRunTime())
	free := m.freeResources.CPUMilli + min(ended, m.running)*needOfOthers - m.unreported.CPUMilli
	missing := need.CPUMilli - free
	if missing <= 0 {
		return 0
	}
	tasksAhead := (missing + needOfOthers - 1) / needOfOthers
	return m.meanRunTime() * time.Duration(tasksAhead) / time.Duration(running)
}

// meanRunTime returns the mean run time of the tasks that ended on m.
func (m *Member) meanRunTime() time.Duration {
	if m.runTimes.mean == 0 {
		return defaultRunTime
	}
	return m.runTimes.mean
}

package agent

import "time"

// RecordRefusal records that a member refused a start. The member is sent no task
// for a delay that doubles with each consecutive refusal.
func (p *Pool) RecordRefusal(now time.Duration, m *Member) {
	delay := min(firstRefusalDelay<<min(m.consecutiveRefusals, maxDoublings), maxRefusalDelay)
	m.consecutiveRefusals++
	m.retryAt = now + delay
}

// RecordFailure records that a task failed on a member after its start. A member
// that fails every task appears idle and fast and would attract more tasks.
// Therefore, after suspendAfterFailedJobs consecutive failed jobs, it is
// suspended for a time that doubles with each further failed job, and then sent
// one task at a time. Consecutive failures of the same job count once, because
// the fault may lie with the job.
func (p *Pool) RecordFailure(now time.Duration, m *Member, ref TaskRef) {
	job := ref.Team + "/" + ref.Job
	if m.lastFailedJob == job {
		return
	}
	m.lastFailedJob = job
	m.consecutiveFailedJobs++
	if excess := m.consecutiveFailedJobs - suspendAfterFailedJobs; excess >= 0 {
		m.suspendedUntil = now + min(firstSuspension<<min(excess, maxDoublings), maxSuspension)
	}
}

// Failing reports whether at least suspendAfterFailedJobs consecutive jobs have
// failed on the member, so that it is suspended between attempts.
func (m *Member) Failing() bool { return m.consecutiveFailedJobs >= suspendAfterFailedJobs }

// RecordSuccess records the run time of a task that succeeded on a member, and
// clears the member's counts of refusals and failures.
func (p *Pool) RecordSuccess(m *Member, kind string, runTime, declared time.Duration) {
	m.consecutiveRefusals = 0
	m.consecutiveFailedJobs = 0
	m.lastFailedJob = ""
	m.suspendedUntil = 0
	m.runTimes.add(kind, runTime, declared)
	p.serviceRunTimes(m.Service).add(kind, runTime, declared)
	p.recordByLabel(m, runTime, declared)
}

// serviceRunTimes returns the averages over all members of a service. It creates
// them if the service has none yet.
func (p *Pool) serviceRunTimes(service string) *runTimeAverages {
	averages := p.runTimesByService[service]
	if averages == nil {
		averages = &runTimeAverages{}
		p.runTimesByService[service] = averages
	}
	return averages
}

// forgetMeasurements clears what was learned from the outcomes of starts on an endpoint
// that was replaced.
func (m *Member) forgetMeasurements() {
	m.runTimes = runTimeAverages{}
	m.reportedRatio = 0
	m.consecutiveRefusals, m.retryAt = 0, 0
	m.consecutiveFailedJobs, m.lastFailedJob, m.suspendedUntil = 0, "", 0
}

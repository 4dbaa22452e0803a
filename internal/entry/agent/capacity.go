package agent

import (
	"time"

	"github.com/savorystair/savorystair/internal/entry/admission"
)

// AppendCapacity appends the capacity of the members of a service that can be sent
// tasks, apart from those that fail or have released this entry, in the order in
// which they were added.
func (p *Pool) AppendCapacity(to []admission.Member, now time.Duration, service string) []admission.Member {
	averages := p.serviceRunTimes(service)
	for _, m := range p.byService[service] {
		if m.Linked && m.AcceptsStarts && !m.OutOfService && !m.Released && !m.Failing() {
			to = append(to, m.capacity(now, p.speedAmong(averages, m)))
		}
	}
	return to
}

// capacity returns the capacity of the member by its latest report.
func (m *Member) capacity(now time.Duration, speed float64) admission.Member {
	others := max(0, m.running+m.queued-m.reportedOwn)
	unreported := max(0, len(m.OpenTasks)-m.reportedOwn)
	offered := max(0, m.offeredStarts-unreported)
	if now < m.retryAt {
		offered = 0
	}
	return admission.Member{
		CPUMilli:    m.Capacity.CPUMilli,
		FreeMilli:   m.freeResources.CPUMilli,
		Slots:       m.slots,
		FreeSlots:   max(0, m.slots-m.running-m.queued),
		Offered:     offered,
		Own:         len(m.OpenTasks),
		Unreported:  unreported,
		Others:      others,
		MeanRunTime: m.meanRunTime(),
		Speed:       speed,
		ReportAge:   now - m.reportedAt,
		LinkAge:     now - m.LinkChangedAt,
	}
}

// ExpectedRunTimeOn returns the expected run time of the task on a member.
func (p *Pool) ExpectedRunTimeOn(m *Member, r Requirements) time.Duration {
	e := p.estimateOf(&r)
	return e.on(m)
}

// speedAmong returns the speed of m relative to the mean of its service, whose
// averages are given; 1 if it is not known.
func (p *Pool) speedAmong(service *runTimeAverages, m *Member) float64 {
	if ratio := p.declaredRatioOf(m); ratio > 0 && service.declaredRatio > 0 {
		return service.declaredRatio / ratio
	}
	if m.runTimes.mean > 0 && service.mean > 0 {
		return float64(service.mean) / float64(m.runTimes.mean)
	}
	return 1
}

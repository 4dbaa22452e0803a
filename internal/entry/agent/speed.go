package agent

import (
	"math"
	"time"
)

// An entry measures each member by the tasks that it sent there, which takes long
// if many entries share many members. Two sources are known earlier: the agent
// reports the ratio of run times to declared run times over the tasks of all
// entries, and members with the same label, such as the model of the host, tend
// to be equally fast.

// minLabelSamples is how many tasks have to end on members with a label before
// the average of the label is used.
const minLabelSamples = 5

// labelKey identifies a label of the members of a service.
type labelKey struct {
	service string
	label   string
}

// labelAverage is the moving average of run times divided by declared run times
// on the members with a label.
type labelAverage struct {
	ratio   float64
	samples int
}

// recordByLabel adds a run time on m to the averages of its labels.
func (p *Pool) recordByLabel(m *Member, runTime, declared time.Duration) {
	if declared <= 0 {
		return
	}
	for _, label := range m.Labels {
		key := labelKey{m.Service, label}
		avg := p.ratiosByLabel[key]
		avg.ratio = movingRatio(avg.ratio, runTime, declared)
		avg.samples++
		p.ratiosByLabel[key] = avg
	}
}

// declaredRatioOf returns the ratio of run times to declared run times on m: as
// reported by the agent or, before its first report, the average of the label
// that differs most from the average of the service. It returns 0 if neither is
// known.
func (p *Pool) declaredRatioOf(m *Member) float64 {
	if m.reportedRatio > 0 {
		return m.reportedRatio
	}
	serviceRatio := p.serviceRunTimes(m.Service).declaredRatio
	best, bestDeviation := 0.0, -1.0
	for _, label := range m.Labels {
		avg := p.ratiosByLabel[labelKey{m.Service, label}]
		if avg.samples < minLabelSamples {
			continue
		}
		if deviation := math.Abs(math.Log(avg.ratio / serviceRatio)); deviation > bestDeviation {
			best, bestDeviation = avg.ratio, deviation
		}
	}
	return best
}

// runTimeEstimate estimates the run time of one task on the members of its service.
type runTimeEstimate struct {
	pool         *Pool
	requirements *Requirements
	// byRatio is the expected run time on a member whose run times equal the declared
	// ones; 0 if the task declares none. The ratio of a member covers all kinds of
	// tasks, so it is scaled by how the kind differs from the others of the service.
	byRatio float64
}

func (p *Pool) estimateOf(r *Requirements) runTimeEstimate {
	e := runTimeEstimate{pool: p, requirements: r}
	if r.DeclaredRunTime <= 0 {
		return e
	}
	e.byRatio = float64(r.DeclaredRunTime)
	service := p.serviceRunTimes(r.Service)
	if kindRatio := service.byKind[r.Kind].declaredRatio; kindRatio > 0 && service.declaredRatio > 0 {
		e.byRatio *= kindRatio / service.declaredRatio
	}
	return e
}

// on returns the expected run time on m. If m has not run the kind, the average over
// the service is scaled by the speed of m.
func (e *runTimeEstimate) on(m *Member) time.Duration {
	if e.byRatio > 0 {
		if ratio := e.pool.declaredRatioOf(m); ratio > 0 {
			return time.Duration(ratio * e.byRatio)
		}
	}
	if t, ok := m.runTimes.expected(e.requirements.Kind, e.requirements.DeclaredRunTime); ok {
		return t
	}
	return time.Duration(float64(e.pool.ExpectedRunTime(*e.requirements)) / e.pool.relativeSpeed(m))
}

// relativeSpeed returns the speed of m relative to the mean of its service; 1 if
// it is not known.
func (p *Pool) relativeSpeed(m *Member) float64 { return p.speedAmong(p.serviceRunTimes(m.Service), m) }

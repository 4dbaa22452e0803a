package agent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/agent"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

func report(p *agent.Pool, now time.Duration, m *agent.Member, badPermille uint32) {
	p.Report(now, m, &wirepb.Load{Slots: 2, Open: true, Room: 3, BadPermille: badPermille})
}

// The pattern: a seventh of the endpoints hang a third of their tasks, and look
// idle and fast. They get a task now and then until they are well.
func TestGreyEndpointIsLeftAlone(t *testing.T) {
	now := time.Minute
	p, m := poolOf(now, 4)
	p.Ran(m[0], "k", 50*ms, 0)
	for _, other := range m[1:] {
		p.Ran(other, "k", 100*ms, 0)
	}
	if got := picked(p, now, need()); got != "a" {
		t.Fatalf("picked %s while all are well, want the fastest", got)
	}
	report(p, now, m[0], 340)
	m[0].Work = map[agent.Ref]struct{}{{Job: "j"}: {}}
	if got := picked(p, now, need()); got == "a" {
		t.Error("picked an endpoint that is grey and has work")
	}
	p.Ended(m[0], agent.Ref{Job: "j"})
	trials := 0
	for end := now + 10*time.Second; now < end; now += 100 * ms {
		for i, o := range m {
			report(p, now, o, []uint32{340, 0, 10, 0}[i])
		}
		if picked(p, now, need()) != "a" {
			continue
		}
		ref := agent.Ref{Job: fmt.Sprint(trials)}
		p.Sent(now, m[0], ref)
		p.Ended(m[0], ref)
		trials++
	}
	if trials < 3 || trials > 6 {
		t.Errorf("%d tasks were sent to try it in 10 s, want 3 to 6", trials)
	}
	report(p, now, m[0], 150)
	if !m[0].Grey() {
		t.Error("well again after a few tasks that ended well")
	}
	report(p, now, m[0], 90)
	if got := picked(p, now, need()); got != "a" {
		t.Errorf("picked %s once all are well again, want the fastest", got)
	}
}

// The pattern: many jobs come that can never be done, and fail wherever they run.
func TestHopelessJobsMakeNoEndpointGrey(t *testing.T) {
	const now = time.Minute
	p, m := poolOf(now, 4)
	for i, o := range m {
		report(p, now, o, []uint32{350, 300, 250, 400}[i])
	}
	for _, o := range m {
		report(p, now, o, 350)
		if o.Grey() {
			t.Errorf("%s is grey although all fail alike", o.ID)
		}
	}
}

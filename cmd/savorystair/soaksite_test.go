package main_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/standin/leased"
	"github.com/savorystair/savorystair/platform/standin"
)

// The soak of the programs with the adapter: the faults of TestSoak that hit
// processes, a store that turns hosts away, and endpoints that lose orders and
// answers, carry orders out late, hang, fail or fall silent.

// siteFault is something done to a site, for a while.
type siteFault struct {
	at   time.Duration
	name string
	do   func()
}

// siteSoak is a site under the faults of a seed.
type siteSoak struct {
	*site
	holds sync.Map // *siteHost to *sync.Mutex, held while a fault has its process

	mu   sync.Mutex
	tale []string
	outs []outage
}

// TestSiteSoak plays seeds as TestSoak does, with the same flags.
func TestSiteSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playSiteSoak(t, seed) })
	}
}

func playSiteSoak(t *testing.T, seed uint64) {
	k := &siteSoak{site: startSite(t, 2, 4, longWork)}
	l := k.startLoad(12)
	l.late = true
	k.inject(k.draw(seed, *soakFor))
	calm := time.Now()
	k.serves(siteRecovery)
	k.note("every entry serves %s after the last fault", time.Since(calm).Round(time.Millisecond))
	l.end()
	k.checkOuts()
	if t.Failed() || testing.Verbose() {
		t.Logf("go test ./cmd/savorystair -run TestSiteSoak$ -soak.seeds 1 -soak.first %d -soak.for %s", seed, *soakFor)
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, line := range k.tale {
			t.Log(line)
		}
	}
}

func (k *siteSoak) note(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tale = append(k.tale, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (k *siteSoak) draw(seed uint64, within time.Duration) []siteFault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var all []siteFault
	for at := 200 * time.Millisecond; at < within; at += time.Duration(50+rng.IntN(900)) * time.Millisecond {
		f := k.drawFault(rng, time.Duration(100+rng.IntN(2500))*time.Millisecond)
		f.at = at
		all = append(all, f)
	}
	return all
}

func (k *siteSoak) drawFault(rng *rand.Rand, last time.Duration) siteFault {
	h := k.hosts[rng.IntN(len(k.hosts))]
	a := k.agents[rng.IntN(len(k.agents))]
	named := func(what string, do func()) siteFault {
		return siteFault{name: what + " for " + last.String(), do: do}
	}
	switch rng.IntN(8) {
	case 0, 1:
		return named(h.id+" is killed, down", func() { k.end(h, syscall.SIGKILL, last/2) })
	case 2:
		return named(h.id+" gets SIGTERM, down", func() { k.end(h, syscall.SIGTERM, last/2) })
	case 3, 4:
		return named(h.id+" stands still", func() { k.pause(h, last) })
	case 5:
		how := standin.Trouble(1 + rng.IntN(4))
		return named(fmt.Sprintf("store turns %s away (%d)", h.id, how), func() {
			h.gate.Set(how)
			time.Sleep(last)
			h.gate.Set(standin.Served)
		})
	case 6:
		f := []leased.Faults{
			{Late: 0.3, LateBy: 2 * time.Second}, {Lost: 0.4}, {Hang: true}, {FailAll: true}, {Silent: true}, {Refused: true},
		}[rng.IntN(6)]
		return named(fmt.Sprintf("endpoint of %s: %+v", a.id, f), func() {
			a.endpoint.Set(f)
			time.Sleep(last)
			a.endpoint.Set(leased.Faults{})
		})
	default:
		zone := zoneName(rng.IntN(3))
		return named(zone+" out", func() { k.takeOut(zone, 3*last) })
	}
}

func (k *siteSoak) inject(all []siteFault) {
	began := time.Now()
	var over sync.WaitGroup
	for _, f := range all {
		time.Sleep(time.Until(began.Add(f.at)))
		k.note("%s", f.name)
		over.Go(f.do)
	}
	over.Wait()
}

// hold keeps other faults off a host's process until the function that it
// returns is called.
func (k *siteSoak) hold(h *siteHost) func() {
	held, _ := k.holds.LoadOrStore(h, &sync.Mutex{})
	mu := held.(*sync.Mutex)
	mu.Lock()
	return mu.Unlock
}

func (k *siteSoak) end(h *siteHost, how syscall.Signal, down time.Duration) {
	defer k.hold(h)()
	began := time.Now()
	h.signal(how)
	<-h.ended
	if took := time.Since(began); took > siteGrace+time.Second {
		k.t.Errorf("%s ended %s after %s", h.id, took, how)
	}
	time.Sleep(down)
	h.start(k.t)
	k.note("%s runs again", h.id)
}

func (k *siteSoak) pause(h *siteHost, last time.Duration) {
	defer k.hold(h)()
	h.signal(syscall.SIGSTOP)
	time.Sleep(last)
	h.signal(syscall.SIGCONT)
}

// takeOut takes a zone out, unless it is, and in again.
func (k *siteSoak) takeOut(zone string, last time.Duration) {
	k.store.TakeOut(zone)
	from := time.Now()
	time.Sleep(last)
	k.mu.Lock()
	k.outs = append(k.outs, outage{zone, from, time.Now()})
	k.mu.Unlock()
	k.store.TakeIn(zone)
}

// checkOuts reports runs that began in a zone that was out. Another fault may
// have taken the zone in meanwhile; then only the time until that counts.
func (k *siteSoak) checkOuts() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range k.outs {
		to := o.to
		for _, other := range k.outs {
			if other.zone == o.zone && other.to.After(o.from) && other.to.Before(to) {
				to = other.to
			}
		}
		for _, a := range k.agents {
			if a.zone != o.zone {
				continue
			}
			if r, ok := k.watch.between(a.id, o.from.Add(siteEvacuate), to); ok {
				k.t.Errorf("%s began at %s more than %s after its zone was taken out", r, a.id, siteEvacuate)
			}
		}
	}
}

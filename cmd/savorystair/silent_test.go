package main_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// relay passes TCP connections on, and can make those that are open lose every
// byte without a sign while new ones work.
type relay struct {
	t      testing.TB
	ln     net.Listener
	target atomic.Value // string

	mu    sync.Mutex
	conns []*relayed
}

// relayed is one connection; each direction can go silent.
type relayed struct {
	near, far net.Conn
	upMute    atomic.Bool
	downMute  atomic.Bool
	lag       atomic.Int64 // a time.Duration
}

func newRelay(t testing.TB) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, ln: ln}
	r.target.Store("")
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string   { return r.ln.Addr().String() }
func (r *relay) to(address string) { r.target.Store(address) }

func (r *relay) accept() {
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target.Load().(string))
		if err != nil {
			near.Close()
			continue
		}
		c := &relayed{near: near, far: far}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.copyUnless(far, near, &c.upMute)
		go c.copyUnless(near, far, &c.downMute)
	}
}

// copyUnless copies, and throws away what comes while mute. A silent
// connection does not pass on its end either.
func (c *relayed) copyUnless(to io.WriteCloser, from io.Reader, mute *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if mute.Load() {
			if err != nil {
				return
			}
			continue
		}
		time.Sleep(time.Duration(c.lag.Load()))
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			to.Close()
			return
		}
	}
}

// silence makes the open connections silent, one way or both.
func (r *relay) silence(up, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.upMute.Store(up)
		c.downMute.Store(down)
	}
}

func (r *relay) close() {
	r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.near.Close()
		c.far.Close()
	}
}

// trouble disturbs the open connections for a while. Silent ones stay so.
func (r *relay) trouble(how linkTrouble, last time.Duration) {
	target := r.target.Load().(string)
	switch how {
	case muteUp:
		r.silence(true, false)
	case muteDown:
		r.silence(false, true)
	case mute:
		r.silence(true, true)
	case cutOff:
		if target == nowhere {
			return
		}
		r.cut()
		defer r.to(target)
	case reset:
		r.reset()
	case delayed:
		r.delay(linkDelay)
		defer r.delay(0)
	}
	time.Sleep(last)
}

// reset resets the open connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		for _, side := range []net.Conn{c.near, c.far} {
			// A connection that is closed already can't be reset.
			_ = side.(*net.TCPConn).SetLinger(0)
			side.Close()
		}
	}
	r.conns = nil
}

// delay makes the open connections lag.
func (r *relay) delay(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.lag.Store(int64(lag))
	}
}

// cut makes the open connections silent and lets no new one through.
func (r *relay) cut() {
	r.to(nowhere)
	r.silence(true, true)
}

// nowhere is an address at which nothing listens.
const nowhere = "127.0.0.1:1"

// ways are the directions in which a connection goes silent.
var ways = []struct {
	name     string
	up, down bool
}{
	{"both", true, true},
	{"up", true, false},
	{"down", false, true},
}

// silentBound is how long work may be held up by a connection that went
// silent: 1 s until it is found, and the work itself.
const silentBound = time.Second + 500*time.Millisecond

// Connections that go silent between an entry and an agent, or the table, are
// found within a second under load; no job fails for it.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	for _, way := range ways {
		t.Run("agent "+way.name, func(t *testing.T) {
			t.Parallel()
			s := startTable(t, false)
			s.startEntry("entry-0", "zone-a")
			r := newRelay(t)
			s.startAgentBehind("agent-0", "zone-a", survey, r)
			s.startAgent("agent-1", "zone-b", survey)
			s.ready()
			s.silenceUnderLoad(t, r, way.up, way.down)
		})
		t.Run("table "+way.name, func(t *testing.T) {
			t.Parallel()
			s := startTable(t, true)
			s.startEntry("entry-0", "zone-a")
			s.startAgent("agent-0", "zone-a", survey)
			s.ready()
			s.silenceUnderLoad(t, s.relay, way.up, way.down)
		})
	}
}

func (s *system) silenceUnderLoad(t *testing.T, r *relay, up, down bool) {
	l := s.startLoad(4, 6, "20ms")
	for range 2 {
		time.Sleep(700 * time.Millisecond)
		r.silence(up, down)
		time.Sleep(1500 * time.Millisecond)
	}
	outcomes := l.end()
	wantComplete(t, outcomes)
	var longest time.Duration
	for _, o := range outcomes {
		longest = max(longest, o.took)
	}
	t.Logf("%d jobs, the longest took %s", len(outcomes), longest)
	if longest > silentBound {
		t.Errorf("a job took %s, want at most %s", longest, silentBound)
	}
}

package main_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// relay forwards TCP connections to a target address. It can disturb the open
// connections: discard their bytes while both sides stay connected, delay them,
// or reset them. New connections are not affected, except by partition.
type relay struct {
	t             testing.TB
	ln            net.Listener
	targetAddress atomic.Value // string

	mu    sync.Mutex
	conns []*relayedConn
}

// relayedConn is one forwarded connection. Each direction can be made silent:
// its bytes are then discarded.
type relayedConn struct {
	client, target   net.Conn // accepted from the client; dialed to the target
	upstreamSilent   atomic.Bool
	downstreamSilent atomic.Bool
	delay            atomic.Int64 // a time.Duration
}

func newRelay(t testing.TB) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, ln: ln}
	r.targetAddress.Store("")
	go r.acceptConns()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string          { return r.ln.Addr().String() }
func (r *relay) setTarget(address string) { r.targetAddress.Store(address) }

func (r *relay) acceptConns() {
	for {
		client, err := r.ln.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", r.targetAddress.Load().(string))
		if err != nil {
			client.Close()
			continue
		}
		c := &relayedConn{client: client, target: target}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.forward(target, client, &c.upstreamSilent)
		go c.forward(client, target, &c.downstreamSilent)
	}
}

// forward copies bytes from src to dst after the connection's delay, and
// discards bytes that arrive while silent is set. It closes dst when src ends,
// unless silent is set: a silent connection doesn't forward its end either.
func (c *relayedConn) forward(dst io.WriteCloser, src io.Reader, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		time.Sleep(time.Duration(c.delay.Load()))
		if _, werr := dst.Write(buf[:n]); werr != nil || err != nil {
			dst.Close()
			return
		}
	}
}

// silence sets in which directions the open connections are silent. Bytes that
// arrive while a direction is silent are discarded, not delivered later.
func (r *relay) silence(upstream, downstream bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.upstreamSilent.Store(upstream)
		c.downstreamSilent.Store(downstream)
	}
}

func (r *relay) close() {
	r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.client.Close()
		c.target.Close()
	}
}

// disturb applies a disturbance to the open connections and waits for duration.
// Afterwards bytes are no longer delayed and new connections no longer fail, but
// connections that were made silent stay silent.
func (r *relay) disturb(disturbance linkDisturbance, duration time.Duration) {
	address := r.targetAddress.Load().(string)
	switch disturbance {
	case silenceUpstream:
		r.silence(true, false)
	case silenceDownstream:
		r.silence(false, true)
	case silenceBoth:
		r.silence(true, true)
	case partition:
		if address == unreachableAddress {
			return
		}
		r.partition()
		defer r.setTarget(address)
	case resetConnections:
		r.resetConnections()
	case delayBytes:
		r.delayBytes(linkDelay)
		defer r.delayBytes(0)
	}
	time.Sleep(duration)
}

// resetConnections resets the open connections.
func (r *relay) resetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		for _, side := range []net.Conn{c.client, c.target} {
			// SetLinger fails only if the connection is closed already.
			_ = side.(*net.TCPConn).SetLinger(0)
			side.Close()
		}
	}
	r.conns = nil
}

// delayBytes sets the delay of every read from the open connections.
func (r *relay) delayBytes(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.delay.Store(int64(delay))
	}
}

// partition makes the open connections silent and new connections fail, until
// the target address is set again.
func (r *relay) partition() {
	r.setTarget(unreachableAddress)
	r.silence(true, true)
}

// unreachableAddress is an address at which no process listens.
const unreachableAddress = "127.0.0.1:1"

// silentDirections lists the combinations of directions in which connections
// become silent.
var silentDirections = []struct {
	name                 string
	upstream, downstream bool
}{
	{"both", true, true},
	{"up", true, false},
	{"down", false, true},
}

// silentMaxJobDuration bounds the duration of a job while a connection becomes
// silent: 1 s until the silence is detected, and 500 ms for the job itself.
const silentMaxJobDuration = time.Second + 500*time.Millisecond

// TestSilentConnections makes the connections between an entry and an agent, or
// the table service, silent under load. The silence must be detected within a
// second, and every job must complete.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	for _, direction := range silentDirections {
		t.Run("agent "+direction.name, func(t *testing.T) {
			t.Parallel()
			s := startTable(t, false)
			s.startEntry("entry-0", "zone-a")
			r := newRelay(t)
			s.startAgentBehindRelay("agent-0", "zone-a", surveyEndpoint, r)
			s.startAgent("agent-1", "zone-b", surveyEndpoint)
			s.waitReady()
			s.checkSilenceUnderLoad(t, r, direction.upstream, direction.downstream)
		})
		t.Run("table "+direction.name, func(t *testing.T) {
			t.Parallel()
			s := startTable(t, true)
			s.startEntry("entry-0", "zone-a")
			s.startAgent("agent-0", "zone-a", surveyEndpoint)
			s.waitReady()
			s.checkSilenceUnderLoad(t, s.tableRelay, direction.upstream, direction.downstream)
		})
	}
}

// checkSilenceUnderLoad makes the connections through r silent twice under
// load, and checks that every job completes within silentMaxJobDuration.
func (s *system) checkSilenceUnderLoad(t *testing.T, r *relay, upstream, downstream bool) {
	load := s.startLoad(4, 6, "20ms")
	for range 2 {
		time.Sleep(700 * time.Millisecond)
		r.silence(upstream, downstream)
		time.Sleep(1500 * time.Millisecond)
	}
	outcomes := load.stop()
	checkAllComplete(t, outcomes)
	var longest time.Duration
	for _, o := range outcomes {
		longest = max(longest, o.elapsed)
	}
	t.Logf("%d jobs; the longest took %s", len(outcomes), longest)
	if longest > silentMaxJobDuration {
		t.Errorf("a job took %s, want at most %s", longest, silentMaxJobDuration)
	}
}

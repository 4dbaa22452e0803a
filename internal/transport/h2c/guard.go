package h2c

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/savorystair/savorystair/internal/transport/budget"
	"github.com/savorystair/savorystair/internal/transport/clock"
)

const (
	// guardTickInterval is how often the connections are checked for time-outs.
	guardTickInterval = 250 * time.Millisecond
	// reserveWait is how long a request waits for memory before it is refused. It is
	// short beside the 1.5 s for which callers wait, so that they can go elsewhere.
	reserveWait = 300 * time.Millisecond
	// reservePollInterval is how often a waiting request asks again.
	reservePollInterval = 20 * time.Millisecond
)

// Refusal describes a connection that was closed or a request that was refused before
// any of it ran.
type Refusal struct {
	Listener string
	Reason   budget.Reason
	Address  string
	Charged  int64         // bytes charged to the connection
	Age      time.Duration // time in the state in which it was refused
	Total    int64         // bytes charged in the process
	Conns    int           // open connections of the process
}

// Guard applies a budget to the connections of the services of one process. Services
// that have the same guard share the budget. The zero value has the default limits.
type Guard struct {
	// OnRefusal, if not nil, is called for each refusal. It must not block.
	OnRefusal func(Refusal)

	mu        sync.Mutex
	table     budget.Table
	conns     map[budget.ID]*guardedConn
	listeners int
	ticking   bool

	lingering atomic.Int32 // connections that linger after a refusal
}

// SetLimits replaces the limits of the process.
func (g *Guard) SetLimits(l budget.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetLimits(l)
}

// addListener returns the number of a new listener in the table.
func (g *Guard) addListener(l budget.ListenerLimits) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners++
	g.table.SetListener(g.listeners, l)
	return g.listeners
}

func (g *Guard) setListener(listener int, l budget.ListenerLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetListener(listener, l)
}

// open adds a connection, or returns the reason for which it is to be refused. With evict
// set, others are closed for it.
func (g *Guard) open(c *guardedConn, evict bool) budget.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, reason, closings := g.table.Open(clock.SinceBoot(), c.service.listenerID, c.address, evict)
	g.apply(closings)
	if reason != budget.None {
		return reason
	}
	c.id = id
	if g.conns == nil {
		g.conns = map[budget.ID]*guardedConn{}
	}
	g.conns[id] = c
	g.scheduleTick()
	return budget.None
}

func (g *Guard) close(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Close(c.id)
	delete(g.conns, c.id)
}

// setState returns false if the connection is being closed.
func (g *Guard) setState(c *guardedConn, s budget.State) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.SinceBoot()
	g.table.Read(now, c.id, c.read.Load())
	return g.table.SetState(now, c.id, s)
}

// charge charges bytes that are held already.
func (g *Guard) charge(c *guardedConn, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Charge(c.id, int64(bytes))
}

// reserve waits until bytes are granted to a connection, up to reserveWait, and
// returns None or the reason for which they were not.
func (g *Guard) reserve(c *guardedConn, bytes int64) budget.Reason {
	for began := clock.SinceBoot(); ; {
		reason, now := g.tryReserve(c, bytes)
		if reason == budget.None || now-began >= reserveWait || c.stopped() != budget.None {
			return reason
		}
		time.Sleep(reservePollInterval)
	}
}

func (g *Guard) tryReserve(c *guardedConn, bytes int64) (budget.Reason, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.SinceBoot()
	g.table.Read(now, c.id, c.read.Load())
	reason, closings := g.table.Reserve(now, c.id, bytes)
	g.apply(closings)
	return reason, now
}

// refused records the refusal of a request on a connection.
func (g *Guard) refused(c *guardedConn, reason budget.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record(c.service, budget.Closing{Reason: reason, Address: c.address})
}

// scheduleTick schedules the next tick if there are connections. The caller holds the
// lock, as in the methods below.
func (g *Guard) scheduleTick() {
	if !g.ticking && len(g.conns) > 0 {
		g.ticking = true
		time.AfterFunc(guardTickInterval, g.tick)
	}
}

func (g *Guard) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.SinceBoot()
	for id, c := range g.conns {
		g.table.Read(now, id, c.read.Load())
		g.table.Write(now, id, time.Duration(c.writing.Load()))
	}
	g.apply(g.table.Tick(now))
	g.ticking = false
	g.scheduleTick()
}

// apply closes connections, except those that have bytes which the process has not
// read: it may have been paused.
func (g *Guard) apply(closings []budget.Closing) {
	for _, closing := range closings {
		c := g.conns[closing.ID]
		if c == nil {
			continue
		}
		if closing.Reason != budget.ResponseNotRead && c.readable() && g.table.Defer(clock.SinceBoot(), closing.ID) {
			continue
		}
		g.record(c.service, closing)
		c.stop(closing.Reason, closing.Was == budget.Body)
	}
}

func (g *Guard) record(s *Service, closing budget.Closing) {
	if g.OnRefusal == nil {
		return
	}
	g.OnRefusal(Refusal{
		Listener: s.name,
		Reason:   closing.Reason,
		Address:  closing.Address,
		Charged:  closing.Charged,
		Age:      closing.Age,
		Total:    g.table.Charged(),
		Conns:    g.table.Conns(),
	})
}

// readable reports whether bytes have arrived on the connection that were not read.
func (c *guardedConn) readable() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			pending = n
		}
	})
	return err == nil && pending > 0
}

// clientAddress returns the IP address of the client of a connection.
func clientAddress(conn net.Conn) string {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return conn.RemoteAddr().String()
}

package budget

import (
	"math"
	"time"
)

// ID identifies a connection in a table.
type ID uint64

// Closing is a connection that is to be closed.
type Closing struct {
	ID     ID
	Reason Reason
	// Was is the state that the connection was in. A client whose body is being read
	// gets a response.
	Was     State
	Address string
	Charged int64
	Age     time.Duration // time in the state
}

// conn is the record of a connection.
type conn struct {
	id       ID
	listener int
	address  string
	state    State
	since    time.Duration // when the state was entered
	progress time.Duration // when bytes were last read
	total    int64         // bytes read since the connection was opened
	body     int64         // total at the start of the body
	extra    int64         // charge beyond ConnBytes
	waiting  bool          // a reservation was refused and will be repeated
	deferred bool          // closing was deferred in this state
	timedOut bool          // closing is because of the time of a head or body
	was      State         // state before closing
	began    time.Duration // when the pending write began; 0 if there is none
	writing  time.Duration // the same, without pauses of the process
	forced   bool          // closed because of a write while it was being closed
}

func (c *conn) charge() int64 { return ConnBytes + c.extra }

// Table holds the connections of a process. The zero value has the default limits and
// no connections. It is not safe for concurrent use.
type Table struct {
	limits    Limits
	listeners map[int]ListenerLimits
	conns     map[ID]*conn
	counts    map[int]int // open connections by listener
	fresh     map[int]int // those in state New
	addresses map[string]int64
	charged   int64
	extras    int64 // the part of charged beyond ConnBytes for each connection
	leaving   int64 // charge of the connections that are being closed
	leavingEx int64 // the part of leaving that is in extras
	// leavingConns is the number of connections that are being closed, by listener.
	leavingConns map[int]int
	lastID       ID
	lastInput    time.Duration
	resumedAt    time.Duration // end of the latest pause of the process
	lastScan     time.Duration // last search that found nothing to close

	refusedAddress string
	refusedAt      time.Duration
}

func (t *Table) init() {
	if t.conns == nil {
		t.conns = map[ID]*conn{}
		t.counts = map[int]int{}
		t.leavingConns = map[int]int{}
		t.fresh = map[int]int{}
		t.addresses = map[string]int64{}
		t.listeners = map[int]ListenerLimits{}
		t.lastScan = math.MinInt64 / 2
		t.refusedAt = math.MinInt64 / 2
	}
}

// SetLimits replaces the limits of the process.
func (t *Table) SetLimits(l Limits) { t.limits = l }

// SetListener replaces the limits of a listener, also for its open connections.
func (t *Table) SetListener(listener int, l ListenerLimits) {
	t.init()
	t.listeners[listener] = l
}

// Charged returns the bytes that are charged in total.
func (t *Table) Charged() int64 { return t.charged }

// Conns returns the number of open connections.
func (t *Table) Conns() int { return len(t.conns) }

// observe notes the clock reading of an input. After a pause of the process, the time
// for which it didn't run is credited to every connection.
func (t *Table) observe(now time.Duration) {
	t.init()
	if gap := now - t.lastInput; gap > maxInputGap && t.lastInput > 0 {
		for _, c := range t.conns {
			c.since += gap
			c.progress += gap
			if c.writing > 0 {
				c.writing += gap
			}
		}
		t.resumedAt = now
	}
	t.lastInput = max(t.lastInput, now)
}

// Open adds a connection, or refuses it with a reason. With evict set, it returns the
// connections that are to be closed for it, in both cases.
func (t *Table) Open(now time.Duration, listener int, address string, evict bool) (ID, Reason, []Closing) {
	t.observe(now)
	l := t.listeners[listener]
	var closings []Closing
	if evict && t.leavingConns[listener] == 0 && t.fresh[listener] >= l.MaxConns()-l.MaxConns()/maxConnsExcess {
		closings = t.evict(now, ConnectionLimit, need{conns: 1, listener: listener, address: address, newOnly: true})
	}
	if t.counts[listener] >= l.MaxConns() {
		if evict && t.staying(listener) >= l.MaxConns() {
			closings = append(closings, t.evict(now, ConnectionLimit, need{conns: 1, listener: listener, address: address})...)
		}
		// Connections that are to be closed may still be open, or be deferred.
		if t.staying(listener) >= l.MaxConns() || t.counts[listener] >= l.MaxConns()+l.MaxConns()/maxConnsExcess {
			return 0, ConnectionLimit, closings
		}
	}
	if !l.internal && t.charged-t.leaving+ConnBytes > t.limits.MemoryBytes() {
		var freed []Closing
		if evict {
			freed = t.evict(now, MemoryBudget, need{bytes: ConnBytes, listener: listener, address: address})
			closings = append(closings, freed...)
		}
		if len(freed) == 0 {
			t.recordRefusal(now, address)
			return 0, MemoryBudget, closings
		}
	}
	t.lastID++
	c := &conn{id: t.lastID, listener: listener, address: address, since: now, progress: now}
	t.conns[c.id] = c
	t.counts[listener]++
	t.fresh[listener]++
	t.addCharge(c, ConnBytes)
	return c.id, None, closings
}

// Close removes a connection that has been closed.
func (t *Table) Close(id ID) {
	c := t.conns[id]
	if c == nil {
		return
	}
	if c.state == closing {
		t.addLeaving(c, -1)
	}
	if c.state == New {
		t.fresh[c.listener]--
	}
	t.counts[c.listener]--
	t.extras -= c.extra
	t.addCharge(c, -c.charge())
	delete(t.conns, id)
}

// SetState records that a connection has entered a state. Entering Idle releases what
// its request was charged. It returns false if the connection is being closed.
func (t *Table) SetState(now time.Duration, id ID, s State) bool {
	t.observe(now)
	c := t.conns[id]
	if c == nil || c.state == closing {
		return false
	}
	if c.state == New && s != New {
		t.fresh[c.listener]--
	}
	if s == Stream && c.state != Stream {
		t.addExtra(c, StreamBytes)
	}
	if s == Idle {
		t.addExtra(c, -c.extra)
	}
	c.state, c.since, c.progress = s, now, now
	c.waiting, c.deferred = false, false
	c.body = c.total
	return true
}

// Read records the number of bytes that were read from a connection so far.
func (t *Table) Read(now time.Duration, id ID, total int64) {
	t.observe(now)
	if c := t.conns[id]; c != nil && total != c.total {
		c.total, c.progress = total, now
	}
}

// Write records when the write to a connection began that is pending; 0 means that there
// is none.
func (t *Table) Write(now time.Duration, id ID, began time.Duration) {
	t.observe(now)
	if c := t.conns[id]; c != nil && began != c.began {
		c.began, c.writing = began, began
		if began > 0 {
			// The table may learn of a write from before a pause only after it.
			c.writing = max(began, t.resumedAt)
		}
	}
}

// Reserve charges bytes to a connection. It returns None if they are granted.
// Otherwise the caller can repeat the call a little later, when the connections to be
// closed are gone.
func (t *Table) Reserve(now time.Duration, id ID, bytes int64) (Reason, []Closing) {
	t.observe(now)
	c := t.conns[id]
	if c == nil || c.state == closing {
		return MemoryBudget, nil
	}
	memory := t.limits.MemoryBytes()
	if t.othersWait(now, c.address) && float64(t.addresses[c.address]+bytes) > t.limits.AddressShare()*float64(memory) {
		c.waiting = true
		return AddressShare, nil
	}
	if t.fits(bytes, t.charged, t.extras) {
		t.addExtra(c, bytes)
		c.waiting = false
		c.progress = now
		return None, nil
	}
	c.waiting = true
	t.recordRefusal(now, c.address)
	if t.fits(bytes, t.charged-t.leaving, t.extras-t.leavingEx) {
		return MemoryBudget, nil
	}
	return MemoryBudget, t.evict(now, MemoryBudget, need{bytes: bytes, self: id, address: c.address, listener: c.listener})
}

// Charge charges bytes that are held already, or with a negative number releases them.
func (t *Table) Charge(id ID, bytes int64) {
	if c := t.conns[id]; c != nil {
		t.addExtra(c, max(bytes, -c.extra))
	}
}

// Defer restores a connection that was to be closed, because it has bytes that the
// process has not read. It returns false if the process doesn't read them for lack of
// memory, and for the second time-out of the same head or body.
func (t *Table) Defer(now time.Duration, id ID) bool {
	c := t.conns[id]
	if c == nil || c.state != closing || c.waiting || (c.deferred && c.timedOut) {
		return false
	}
	t.addLeaving(c, -1)
	c.state, c.deferred, c.progress = c.was, true, now
	if c.state == New {
		t.fresh[c.listener]++
	}
	return true
}

// Tick returns the connections whose time has run out.
func (t *Table) Tick(now time.Duration) []Closing {
	t.observe(now)
	var all []Closing
	for _, c := range t.conns {
		if reason := t.expired(now, c); reason != None {
			all = append(all, t.close(now, c, reason))
		}
	}
	return all
}

// expired returns why a connection's time has run out, or None.
func (t *Table) expired(now time.Duration, c *conn) Reason {
	if !c.forced && c.writing > 0 && now-c.writing > defaultWriteTimeout {
		return ResponseNotRead
	}
	if c.deferred && now-c.progress < deferral {
		return None
	}
	l := t.listeners[c.listener]
	age := now - c.since
	switch c.state {
	case New, Head:
		if age > l.HeadTimeout() {
			return HeadTimeout
		}
	case Body:
		// The time for which the process itself waited for memory does not count.
		received := c.total - c.body
		if !c.waiting && age > defaultBodyGrace && float64(received) < (age-defaultBodyGrace).Seconds()*defaultBodyRate {
			return BodyTooSlow
		}
	case Idle:
		if idle := l.IdleTimeout(); idle > 0 && age > idle {
			return IdleTimeout
		}
	case Stream:
		if c.total < streamStartBytes && age > l.HeadTimeout() {
			return HeadTimeout
		}
		if now-c.progress > streamIdleTimeout {
			return IdleTimeout
		}
	case Serving, closing:
	}
	return None
}

// close marks a connection as being closed. If it is one already, the response to its
// refusal isn't read.
func (t *Table) close(now time.Duration, c *conn, reason Reason) Closing {
	if c.state == closing {
		c.forced, c.was = true, Serving
		return Closing{ID: c.id, Reason: reason, Was: c.was, Address: c.address, Charged: c.charge(), Age: now - c.since}
	}
	if c.state == New {
		t.fresh[c.listener]--
	}
	t.addLeaving(c, 1)
	c.timedOut = (c.state == Head || c.state == Body) && (reason == HeadTimeout || reason == BodyTooSlow)
	c.was, c.state = c.state, closing
	return Closing{ID: c.id, Reason: reason, Was: c.was, Address: c.address, Charged: c.charge(), Age: now - c.since}
}

// addLeaving adds the charge of a connection to that of those being closed, or with
// sign -1 removes it.
func (t *Table) addLeaving(c *conn, sign int64) {
	t.leaving += sign * c.charge()
	t.leavingEx += sign * c.extra
	t.leavingConns[c.listener] += int(sign)
}

// staying returns the number of connections of a listener that aren't being closed.
func (t *Table) staying(listener int) int { return t.counts[listener] - t.leavingConns[listener] }

// fits reports whether bytes of a head or body can be charged. A part of the memory is
// left for connections, so that large bodies don't keep out small requests.
func (t *Table) fits(bytes, charged, extras int64) bool {
	memory := t.limits.MemoryBytes()
	return charged+bytes <= memory && float64(extras+bytes) <= bodyShare*float64(memory)
}

func (t *Table) addExtra(c *conn, bytes int64) {
	c.extra += bytes
	t.extras += bytes
	if c.state == closing {
		t.leaving += bytes
		t.leavingEx += bytes
	}
	t.addCharge(c, bytes)
}

func (t *Table) addCharge(c *conn, bytes int64) {
	t.charged += bytes
	if sum := t.addresses[c.address] + bytes; sum > 0 {
		t.addresses[c.address] = sum
	} else {
		delete(t.addresses, c.address)
	}
}

func (t *Table) recordRefusal(now time.Duration, address string) {
	t.refusedAddress, t.refusedAt = address, now
}

// othersWait reports whether a reservation of another address was refused recently.
func (t *Table) othersWait(now time.Duration, address string) bool {
	return t.refusedAddress != address && now-t.refusedAt <= shareWindow
}

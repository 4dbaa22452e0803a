// Package budget decides which connections of a process may hold memory and
// descriptors, and which are closed for others. It is a pure state machine: its inputs
// carry a clock reading, and it performs no I/O.
package budget

import "time"

//go:generate stringer -type=Reason -linecomment

// State is what a connection is doing.
type State uint8

// The states of a connection.
const (
	// New means that the client has sent nothing yet.
	New State = iota
	// Head means that a part of a request's head has arrived.
	Head
	// Body means that the head of a request is complete and its body is not.
	Body
	// Serving means that a complete request is being served. Such a connection is only
	// closed if the client doesn't read the response.
	Serving
	// Idle means that the last request has its response and no other has begun.
	Idle
	// Stream means that the connection carries HTTP/2.
	Stream
	// closing means that the connection is to be closed.
	closing
)

// Reason is why a connection is closed or a request refused. Its text is the name of a
// counter.
type Reason uint8

// The reasons.
const (
	None            Reason = iota // none
	HeadTooLarge                  // head_too_large
	HeadTimeout                   // head_timeout
	BodyTooLarge                  // body_too_large
	BodyTooSlow                   // body_too_slow
	MemoryBudget                  // memory_budget
	ConnectionLimit               // connection_limit
	AddressShare                  // address_share
	IdleTimeout                   // idle_timeout
	ResponseNotRead               // response_not_read
	TooManyTasks                  // too_many_tasks
	numReasons                    // invalid
)

// Reasons returns every reason that has a counter.
func Reasons() []Reason {
	var all []Reason
	for r := None + 1; r < numReasons; r++ {
		all = append(all, r)
	}
	return all
}

const (
	// ConnBytes is what a connection is charged: the stacks of its goroutines, its
	// buffers, and the first InlineBytes of a head or body.
	ConnBytes = 32 << 10
	// InlineBytes is the size up to which heads and bodies are part of ConnBytes.
	InlineBytes = 4 << 10
	// StreamBytes is the additional charge of an HTTP/2 connection, for its frame
	// buffers, header tables and streams.
	StreamBytes = 32 << 10
	// CallBytes is the charge of a call on an HTTP/2 connection.
	CallBytes = 24 << 10

	// stalledAfter is how long a connection may send nothing in the middle of a request
	// before it is among the first to be closed for others. Packets that were lost
	// twice in a row arrive within that time.
	stalledAfter = time.Second
	// silentAfter is the same for a connection without a request. Clients send a request
	// at once after they have opened a connection, and may have closed an idle one.
	silentAfter = 100 * time.Millisecond
	// maxInputGap is the time between two inputs from which on the process counts as
	// paused. Ticks are more frequent.
	maxInputGap = time.Second
	// deferral is how long a connection stays open whose time has run out, but that has
	// bytes which the process has not read.
	deferral = time.Second
	// shareWindow is how long after a refused reservation its address counts as waiting.
	shareWindow = time.Second
	// maxConnsExcess is the part of the connections of a listener, as a divisor, that may
	// be open in addition while others are being closed, and that is kept from
	// connections that have sent nothing.
	maxConnsExcess = 8
	// scanPause is how long no connections are searched after a search that found none.
	scanPause = 5 * time.Millisecond
	// bodyShare is the share of the memory that heads and bodies may take beyond
	// ConnBytes for each connection.
	bodyShare = 0.75
	// batchShare is the share of the memory or connections that is freed at once, so that a crowd of
	// clients doesn't cause a search for each request.
	batchShare = 1.0 / 32
)

// Defaults of the limits, without settings.
const (
	defaultMemoryBytes  = 256 << 20
	defaultAddressShare = 0.5
	defaultMaxConns     = 8192
	defaultMaxCalls     = 4096
	defaultHeadBytes    = 16 << 10
	defaultBodyBytes    = 24 << 20
	defaultHeadTimeout  = 5 * time.Second
	// defaultBodyGrace and defaultBodyRate bound the time of a body. A caller waits 1.5
	// to 10 s for its answer, so that a body that takes longer is of no use to it.
	defaultBodyGrace = 5 * time.Second
	defaultBodyRate  = 16 << 10
	// defaultWriteTimeout is how long a client may accept no byte of a response. It is
	// longer than the 10 s for which callers wait by default.
	defaultWriteTimeout = 15 * time.Second
	// streamStartBytes is the size of the preface and the settings with which a client
	// begins an HTTP/2 connection at once.
	streamStartBytes = 24 + 9
	// streamIdleTimeout bounds the time without a byte on an HTTP/2 connection. The
	// processes of the system ping or close theirs within 30 s.
	streamIdleTimeout = 5 * time.Minute
	// streamQuietAfter is the time without a byte from which on an HTTP/2 connection may
	// be closed for another one.
	streamQuietAfter = time.Minute
)

// Limits bounds what all connections of a process hold. It is immutable; the zero
// value has the defaults.
type Limits struct {
	memoryBytes int64
	share       float64
}

// MemoryBytes returns the bytes that may be charged in total.
func (l Limits) MemoryBytes() int64 {
	if l.memoryBytes <= 0 {
		return defaultMemoryBytes
	}
	return l.memoryBytes
}

// WithMemoryBytes returns the limits with another total; 0 stands for the default.
func (l Limits) WithMemoryBytes(n int64) Limits {
	l.memoryBytes = n
	return l
}

// AddressShare returns the share of the memory that the connections of one client
// address may hold while others wait.
func (l Limits) AddressShare() float64 {
	if l.share <= 0 {
		return defaultAddressShare
	}
	return l.share
}

// WithAddressShare returns the limits with another share; 0 stands for the default.
func (l Limits) WithAddressShare(share float64) Limits {
	l.share = share
	return l
}

// ListenerLimits bounds the connections of one listener and their requests. It is
// immutable; the zero value has the defaults.
type ListenerLimits struct {
	maxConns, maxCalls       int
	headBytes, bodyBytes     int64
	headTimeout, idleTimeout time.Duration
	internal                 bool
}

// MaxConns returns the number of connections that may be open, apart from an eighth
// more while others are being closed for them.
func (l ListenerLimits) MaxConns() int { return int(orDefault(int64(l.maxConns), defaultMaxConns)) }

// MaxCalls returns the number of calls that may be open on HTTP/2 connections.
func (l ListenerLimits) MaxCalls() int { return int(orDefault(int64(l.maxCalls), defaultMaxCalls)) }

// HeadBytes returns the largest size of a request's head.
func (l ListenerLimits) HeadBytes() int64 { return orDefault(l.headBytes, defaultHeadBytes) }

// BodyBytes returns the largest size of a request's body.
func (l ListenerLimits) BodyBytes() int64 { return orDefault(l.bodyBytes, defaultBodyBytes) }

// HeadTimeout returns how long a head may take from its first byte on, and how long a
// new connection may send nothing.
func (l ListenerLimits) HeadTimeout() time.Duration {
	return time.Duration(orDefault(int64(l.headTimeout), int64(defaultHeadTimeout)))
}

// IdleTimeout returns how long a connection may stay open between two requests, or 0 if
// there is no bound.
func (l ListenerLimits) IdleTimeout() time.Duration { return max(0, l.idleTimeout) }

// WithMaxConns returns the limits with another number of connections; 0 stands for the
// default, as in the other methods.
func (l ListenerLimits) WithMaxConns(n int) ListenerLimits {
	l.maxConns = n
	return l
}

// WithMaxCalls returns the limits with another number of calls.
func (l ListenerLimits) WithMaxCalls(n int) ListenerLimits {
	l.maxCalls = n
	return l
}

// WithSizes returns the limits with other sizes of heads and bodies.
func (l ListenerLimits) WithSizes(head, body int64) ListenerLimits {
	l.headBytes, l.bodyBytes = head, body
	return l
}

// WithTimeouts returns the limits with other timeouts of heads and idle connections.
func (l ListenerLimits) WithTimeouts(head, idle time.Duration) ListenerLimits {
	l.headTimeout, l.idleTimeout = head, idle
	return l
}

// WithInternal returns the limits of a listener for operators and other processes of
// the system. Its connections are bounded in number, and open also while clients hold
// the whole memory.
func (l ListenerLimits) WithInternal() ListenerLimits {
	l.internal = true
	return l
}

func orDefault(value, standard int64) int64 {
	if value <= 0 {
		return standard
	}
	return value
}

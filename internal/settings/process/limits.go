package process

import "github.com/savorystair/savorystair/internal/transport/budget"

const (
	// calmMemoryMB is the memory that a process takes without open requests.
	calmMemoryMB = 45
	// heapPerLiveByte is how much memory a byte takes that is charged, since the garbage
	// collector lets the heap grow to twice what is live.
	heapPerLiveByte = 2
	// minRequestMemoryMB serves some 200 connections.
	minRequestMemoryMB = 16
	// defaultRequestMemoryMB is used for a process without a memory setting.
	defaultRequestMemoryMB = 512
	// reservedDescriptors are used for files.
	reservedDescriptors = 200
	// defaultDescriptors is assumed without a setting.
	defaultDescriptors = 16_384
	// queueMemoryShare is the share of the memory, as a divisor, that queued tasks may
	// take, and queuedTaskBytes what one takes without its payload, which the tasks of
	// a step share.
	queueMemoryShare = 8
	queuedTaskBytes  = 1 << 10
	// operatorConns and readinessConns bound the connections of operators and of the
	// load balancer's checks, of which there are a few.
	operatorConns  = 128
	readinessConns = 64
	// minPeerConns and manyPeerConns bound the connections of other processes of the
	// system. After a restart of a region all 35 entries and 160 agents may call at
	// the same time.
	minPeerConns  = 64
	manyPeerConns = 256
	// minPeerCalls is the same for calls, of which a link to an agent is one.
	minPeerCalls = 64
)

// resources are the memory and the descriptors of a process by its settings; 0 stands
// for none.
type resources struct {
	memoryMB, descriptors, requestMemoryMB, maxConns int
}

func (e Entry) resources() resources {
	r := resources{requestMemoryMB: e.RequestMemoryMB, maxConns: e.MaxConnections}
	if e.Adapter != nil {
		r.memoryMB, r.descriptors = e.Adapter.MemoryMB, e.Adapter.MaxDescriptors
	}
	return r
}

func (a Agent) resources() resources {
	r := resources{requestMemoryMB: a.RequestMemoryMB, maxConns: a.MaxConnections}
	if a.Adapter != nil {
		r.memoryMB, r.descriptors = a.Adapter.MemoryMB, a.Adapter.MaxDescriptors
	}
	return r
}

// requestMemory returns the bytes that connections and requests being read may be
// charged.
func (r resources) requestMemory() int64 {
	megabytes := r.requestMemoryMB
	switch {
	case megabytes > 0:
	case r.memoryMB > 0:
		megabytes = max(minRequestMemoryMB, r.memoryMB-calmMemoryMB)
	default:
		megabytes = defaultRequestMemoryMB
	}
	return int64(megabytes) << 20 / heapPerLiveByte
}

// conns returns the descriptors that connections may use.
func (r resources) conns() int {
	if r.descriptors == 0 {
		return defaultDescriptors - reservedDescriptors
	}
	return r.descriptors - reservedDescriptors
}

// clientConns returns the number of connections of callers, or, at an agent, of
// entries. Three eighths of the descriptors are left for links to agents, other
// entries, the store and operators, and for connections that are being closed.
func (r resources) clientConns() int {
	if r.maxConns > 0 {
		return r.maxConns
	}
	// A quarter of the memory is left for bodies.
	byMemory := r.requestMemory() * 3 / 4 / budget.ConnBytes
	return min(r.conns()*5/8, int(byMemory))
}

// peerConns returns the number of connections of other processes of the system, which
// take at most a quarter of the memory.
func (r resources) peerConns() int {
	byMemory := int(r.requestMemory() / 4 / (budget.ConnBytes + budget.StreamBytes))
	return max(minPeerConns, min(byMemory, max(manyPeerConns, r.conns()/16)))
}

// peerCalls returns the number of open calls of other processes of the system, which take
// at most a quarter of the memory.
func (r resources) peerCalls() int {
	return max(minPeerCalls, int(r.requestMemory()/4/budget.CallBytes))
}

// queuedTasks returns how many tasks may be queued.
func (r resources) queuedTasks() int {
	if r.memoryMB == 0 {
		return defaultMaxQueuedTasks
	}
	return min(defaultMaxQueuedTasks, (r.memoryMB<<20)/queueMemoryShare/queuedTaskBytes)
}

// largeBody returns the largest body that a listener accepts that has no limit of its
// own.
func (r resources) largeBody() int64 { return min(24<<20, r.requestMemory()/4) }

// messages returns the bytes of the messages of other processes of the system that may
// be read at the same time.
func (r resources) messages() int64 { return min(64<<20, r.requestMemory()/4) }

// TransportLimits returns what all connections of the entry may hold.
func (e Entry) TransportLimits() budget.Limits {
	return budget.Limits{}.WithMemoryBytes(e.resources().requestMemory())
}

// CallerLimits returns the limits of the caller listener, without those that the
// configuration sets.
func (e Entry) CallerLimits() budget.ListenerLimits {
	r := e.resources()
	return budget.ListenerLimits{}.WithMaxConns(r.clientConns()).WithSizes(0, r.largeBody())
}

// OperatorLimits returns the limits of the operator listener.
func (e Entry) OperatorLimits() budget.ListenerLimits {
	return budget.ListenerLimits{}.WithMaxConns(operatorConns).WithSizes(0, e.resources().largeBody()).WithInternal()
}

// ReadinessLimits returns the limits of the listener for readiness checks, which have
// no body.
func (e Entry) ReadinessLimits() budget.ListenerLimits {
	return budget.ListenerLimits{}.WithMaxConns(readinessConns).WithSizes(0, budget.InlineBytes).WithInternal()
}

// PeerLimits returns the limits of the listener for agents and other entries.
func (e Entry) PeerLimits() budget.ListenerLimits {
	r := e.resources()
	return budget.ListenerLimits{}.WithMaxConns(r.peerConns()).WithMaxCalls(r.peerCalls()).WithSizes(0, r.messages()).WithInternal()
}

// TransportLimits returns what all connections of the agent may hold.
func (a Agent) TransportLimits() budget.Limits {
	return budget.Limits{}.WithMemoryBytes(a.resources().requestMemory())
}

// LinkLimits returns the limits of the listener for entries.
func (a Agent) LinkLimits() budget.ListenerLimits {
	r := a.resources()
	conns := r.peerConns()
	if r.maxConns > 0 {
		conns = r.maxConns
	}
	return budget.ListenerLimits{}.WithMaxConns(conns).WithMaxCalls(r.peerCalls()).WithSizes(0, r.messages()).WithInternal()
}

// AnnouncementLimits returns the limits of the listener for the endpoint's
// announcements, which have a few kilobytes.
func (a Agent) AnnouncementLimits() budget.ListenerLimits {
	return budget.ListenerLimits{}.WithMaxConns(operatorConns).WithSizes(0, maxAnnouncementBytes)
}

// maxAnnouncementBytes is above the limits of the handlers of announcements.
const maxAnnouncementBytes = 256 << 10

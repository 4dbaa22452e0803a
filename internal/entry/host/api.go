package host

import (
	"context"
	"fmt"
	"time"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/operator"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/document"
	"github.com/savorystair/savorystair/internal/telemetry/counters"
	"github.com/savorystair/savorystair/internal/transport/clock"
	"github.com/savorystair/savorystair/internal/transport/h2c"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// maxDocumentWait is how long after the start of the entry requests wait for
	// the first configuration document. Reading it takes a few ms unless its
	// source is impaired.
	maxDocumentWait = time.Second
	// documentPollInterval is how often a waiting request checks for the document.
	documentPollInterval = 5 * time.Millisecond
)

// Now returns the time since the entry started, by a monotonic clock that includes
// suspensions of the host.
func (e *Entry) Now() time.Duration { return clock.SinceBoot() - e.started }

// ReceivedAt returns when the caller of a request last sent something, on the clock of
// Now.
func (e *Entry) ReceivedAt(ctx context.Context) time.Duration {
	now := clock.Read()
	e.suspensions.Observe(now)
	return e.suspensions.SinceBoot(now, h2c.LastReceived(ctx)) - e.started
}

// Ready reports whether no planned stop of the entry has begun.
func (e *Entry) Ready() bool { return !e.stopping.Load() }

// Route returns the route that the configuration document in force has for a
// request, and the part of the path after the route's prefix. An entry that has
// just started waits for its document, up to maxDocumentWait after its start.
// Loaded reports whether there is a document, and found whether it has a matching
// route.
func (e *Entry) Route(ctx context.Context, host, path string) (r document.Route, rest string, found, loaded bool) {
	for !e.config.Loaded() {
		if e.Now() > maxDocumentWait || pause.For(ctx, documentPollInterval) != nil {
			return document.Route{}, "", false, false
		}
	}
	r, rest, found = e.config.Document().Route(host, path)
	return r, rest, found, true
}

// AcceptsConnections reports whether the balancer should send connections to the
// entry: it has a configuration document and at least one agent that accepts
// starts, and is not stopping.
func (e *Entry) AcceptsConnections() bool {
	return e.Ready() && e.config.Loaded() && e.reachableAgents.Value() > 0
}

// Submit submits a job and waits for its answer.
func (e *Entry) Submit(ctx context.Context, job caller.Job) (caller.Answer, error) {
	o, err := e.emitAndWait(ctx, func(t caller.Ticket) caller.Event {
		return caller.Submit{Ticket: t, Job: job}
	})
	return o.answer, err
}

// RequestKey returns a unique key for a repeatable job or request.
func (e *Entry) RequestKey(team string) caller.Key {
	return caller.Key{Team: team, ID: fmt.Sprintf("%s%s-%d", caller.RepeatableIDPrefix, e.incarnation, e.requestKeys.Add(1))}
}

// Await waits for the answer of a job, after cancelling the job if cancel is set.
// The second result reports whether this entry holds the job.
func (e *Entry) Await(ctx context.Context, key caller.Key, digest []byte, cancel bool) (caller.Answer, bool, error) {
	o, err := e.emitAndWait(ctx, func(t caller.Ticket) caller.Event {
		return caller.Await{Ticket: t, Key: key, Digest: digest, Cancel: cancel}
	})
	return o.answer, o.known, err
}

// Peek returns the current status of a job. The second result reports whether this
// entry holds the job.
func (e *Entry) Peek(ctx context.Context, key caller.Key) (caller.JobStatus, bool, error) {
	o, err := e.emitAndWait(ctx, func(t caller.Ticket) caller.Event {
		return caller.Peek{Ticket: t, Key: key}
	})
	return o.status, o.known, err
}

// FindJob returns the status of a job from the entry that holds it, after
// cancelling the job if cancel is set. It returns nil if no reachable entry holds
// the job.
func (e *Entry) FindJob(ctx context.Context, key caller.Key, cancel bool) (*caller.JobStatus, error) {
	found, known, err := e.findLocal(ctx, key, cancel)
	if err != nil || known {
		return found, err
	}
	owner, err := e.claims.Owner(ctx, key)
	if err != nil || owner == "" || owner == e.incarnation {
		return nil, err
	}
	mode := wirepb.AwaitMode_AWAIT_MODE_PEEK
	if cancel {
		mode = wirepb.AwaitMode_AWAIT_MODE_CANCEL
	}
	located, err := e.peers.QueryJob(ctx, owner, key, mode)
	if err != nil || located == nil {
		return nil, err
	}
	return &caller.JobStatus{Progress: located.Progress, Finished: located.Finished, Answer: located.Answer}, nil
}

// findLocal returns the status of a job that this entry holds, after cancelling
// the job if cancel is set. The second result reports whether this entry holds the
// job.
func (e *Entry) findLocal(ctx context.Context, key caller.Key, cancel bool) (*caller.JobStatus, bool, error) {
	if !cancel {
		p, known, err := e.Peek(ctx, key)
		return &p, known, err
	}
	answer, known, err := e.Await(ctx, key, nil, true)
	return &caller.JobStatus{Finished: true, Answer: answer}, known, err
}

// AddAgent adds or updates an agent by its description.
func (e *Entry) AddAgent(_ context.Context, info *wirepb.AgentInfo) {
	e.emit(caller.AgentAnnounced{Info: info})
}

// AvailableAgents returns the descriptions of the agents that are linked and
// accept starts.
func (e *Entry) AvailableAgents(ctx context.Context) ([]*wirepb.AgentInfo, error) {
	var all []*wirepb.AgentInfo
	err := e.inspect(ctx, func(s *caller.State) {
		for _, m := range s.Members() {
			if m.Linked && m.AcceptsStarts && m.Info != nil {
				all = append(all, m.Info)
			}
		}
	})
	return all, err
}

// PingAgents pings every linked agent for a load report and waits
// pingResponseWait for the reports. Without a ping, agents without tasks send
// reports rarely.
func (e *Entry) PingAgents(ctx context.Context) {
	e.emit(caller.PingAll{})
	// An error only means that ctx ended before the end of the wait.
	_ = pause.For(ctx, pingResponseWait)
}

// AgentConfigVersions pings every linked agent and returns the configuration
// version in force at each agent by its latest report.
func (e *Entry) AgentConfigVersions(ctx context.Context) []*wirepb.ProcessVersion {
	e.PingAgents(ctx)
	endpoints, err := e.Endpoints(ctx)
	if err != nil {
		return nil
	}
	var all []*wirepb.ProcessVersion
	for _, endpoint := range endpoints {
		all = append(all, endpoint.ConfigVersion)
	}
	return all
}

// Endpoints returns the endpoints of the agents that the entry has a record of.
func (e *Entry) Endpoints(ctx context.Context) ([]operator.Endpoint, error) {
	var all []operator.Endpoint
	err := e.inspect(ctx, func(s *caller.State) {
		for _, m := range s.Members() {
			if m.Service == "" {
				continue
			}
			all = append(all, operator.Endpoint{
				ID:            m.ID,
				Zone:          m.Zone,
				Service:       m.Service,
				Address:       m.Address,
				Slots:         m.Slots(),
				Running:       m.Running(),
				Queued:        m.Queued(),
				Linked:        m.Linked,
				OutOfService:  m.OutOfService || !m.AcceptsStarts,
				ConfigVersion: &wirepb.ProcessVersion{Id: m.ID, Zone: m.Zone, Version: m.ConfigVersion},
			})
		}
	})
	return all, err
}

// Counters returns the entry's counters.
func (e *Entry) Counters() *counters.Set { return e.counters }

// UsableAgents returns the number of agents that claimed jobs could use at the latest
// tick.
func (e *Entry) UsableAgents() int { return int(e.usableAgents.Value()) }

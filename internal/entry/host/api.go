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
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// documentWait is how long after the start of the entry a request waits for
	// the first document. A read of it takes a few ms when the source is well.
	documentWait = time.Second
	documentPoll = 5 * time.Millisecond
)

// Now returns the entry's monotonic clock, counted from its start.
func (e *Entry) Now() time.Duration { return time.Since(e.started) }

// Ready reports whether the entry takes new work.
func (e *Entry) Ready() bool { return !e.stopped.Load() }

// Route returns the route of a request by the document in force, and the part
// of the path behind its prefix. An entry that has just started waits for its
// document. Loaded says whether there is one.
func (e *Entry) Route(ctx context.Context, host, path string) (r document.Route, rest string, found, loaded bool) {
	for !e.config.Loaded() {
		if e.Now() > documentWait || pause.For(ctx, documentPoll) != nil {
			return document.Route{}, "", false, false
		}
	}
	r, rest, found = e.config.Document().Route(host, path)
	return r, rest, found, true
}

// Serving reports whether the entry takes new connections: it has a document
// and agents, and does not stop.
func (e *Entry) Serving() bool {
	return e.Ready() && e.config.Loaded() && e.reachable.Value() > 0
}

// Submit hands in a job and waits for its answer.
func (e *Entry) Submit(ctx context.Context, job caller.Job) (caller.Answer, error) {
	o, err := e.wait(ctx, job.Key, func(t caller.Ticket) caller.Event {
		return caller.Submit{Ticket: t, Job: job}
	})
	return o.answer, err
}

// RequestKey returns a key of its own for a repeatable request. The tilde
// keeps it apart from the ids that callers choose.
func (e *Entry) RequestKey(team string) caller.Key {
	return caller.Key{Team: team, ID: fmt.Sprintf("~%s-%d", e.incarnation, e.nextKey.Add(1))}
}

// Await waits for the answer of a job that this entry holds.
func (e *Entry) Await(ctx context.Context, key caller.Key, digest []byte, cancel bool) (caller.Answer, bool, error) {
	o, err := e.wait(ctx, key, func(t caller.Ticket) caller.Event {
		return caller.Wait{Ticket: t, Key: key, Digest: digest, Cancel: cancel}
	})
	return o.answer, o.known, err
}

// Peek returns the state of a job that this entry holds.
func (e *Entry) Peek(ctx context.Context, key caller.Key) (caller.Peeked, bool, error) {
	o, err := e.wait(ctx, key, func(t caller.Ticket) caller.Event {
		return caller.Peek{Ticket: t, Key: key}
	})
	return o.peeked, o.known, err
}

// Find returns the state of a job at whatever entry holds it, after cancelling
// it if told to.
func (e *Entry) Find(ctx context.Context, key caller.Key, cancel bool) (*caller.Peeked, error) {
	found, known, err := e.findHere(ctx, key, cancel)
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
	return &caller.Peeked{Progress: located.Progress, Finished: located.Finished, Answer: located.Answer}, nil
}

func (e *Entry) findHere(ctx context.Context, key caller.Key, cancel bool) (*caller.Peeked, bool, error) {
	if !cancel {
		p, known, err := e.Peek(ctx, key)
		return &p, known, err
	}
	answer, known, err := e.Await(ctx, key, nil, true)
	return &caller.Peeked{Finished: true, Answer: answer}, known, err
}

// AddAgent adds or updates an agent by its description.
func (e *Entry) AddAgent(_ context.Context, info *wirepb.AgentInfo) {
	e.emit(caller.Announced{Info: info})
}

// AvailableAgents returns the descriptions of the agents that are linked and
// accept starts.
func (e *Entry) AvailableAgents(ctx context.Context) ([]*wirepb.AgentInfo, error) {
	var all []*wirepb.AgentInfo
	err := e.look(ctx, func(s *caller.State) {
		for _, m := range s.Members() {
			if m.Linked && m.Open && m.Info != nil {
				all = append(all, m.Info)
			}
		}
	})
	return all, err
}

// PingAgents asks every agent for a report and gives them time to answer.
// Agents without work are seldom heard of otherwise.
func (e *Entry) PingAgents(ctx context.Context) {
	e.emit(caller.PingAll{})
	// A caller that has gone reads no answer.
	_ = pause.For(ctx, pingWait)
}

// AgentConfigVersions pings every agent and returns the configuration version in
// force at each.
func (e *Entry) AgentConfigVersions(ctx context.Context) []*wirepb.ProcessVersion {
	e.PingAgents(ctx)
	known, err := e.Endpoints(ctx)
	if err != nil {
		return nil
	}
	var all []*wirepb.ProcessVersion
	for _, k := range known {
		all = append(all, k.Versions)
	}
	return all
}

// Endpoints returns the endpoints that the entry knows.
func (e *Entry) Endpoints(ctx context.Context) ([]operator.Endpoint, error) {
	var all []operator.Endpoint
	err := e.look(ctx, func(s *caller.State) {
		for _, m := range s.Members() {
			if m.Service == "" {
				continue
			}
			all = append(all, operator.Endpoint{
				ID:       m.ID,
				Zone:     m.Zone,
				Service:  m.Service,
				Address:  m.Address,
				Slots:    m.Slots(),
				Running:  m.Running(),
				Queued:   m.Queued(),
				Linked:   m.Linked,
				Out:      m.Out || !m.Open,
				Versions: &wirepb.ProcessVersion{Id: m.ID, Zone: m.Zone, Version: m.ConfigVersion},
			})
		}
	})
	return all, err
}

// Counters returns the entry's counters.
func (e *Entry) Counters() *counters.Set { return e.counters }

// Usable returns the number of agents that claimed jobs can use now.
func (e *Entry) Usable() int { return int(e.usable.Value()) }

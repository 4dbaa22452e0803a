// Package peer is an entry's side towards other processes that call it: agents
// that announce themselves and entries that ask for jobs and configuration.
package peer

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/entry/platform"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// Control is the control state as other processes may use it.
type Control interface {
	// Announce takes an agent's announcement.
	Announce(ctx context.Context, info *wirepb.AgentInfo)
	// Await waits for the answer of a job that this entry holds.
	Await(ctx context.Context, key caller.Key, digest []byte, cancel bool) (a caller.Answer, known bool, err error)
	// Peek returns the state of a job that this entry holds.
	Peek(ctx context.Context, key caller.Key) (p caller.Peeked, known bool, err error)
	// Known describes the agents that take tasks.
	Known(ctx context.Context) ([]*wirepb.AgentInfo, error)
	// Agents returns the configuration version at each agent.
	Agents(ctx context.Context) []*wirepb.ProcessVersion
}

// Server serves the EntryPeer service.
type Server struct {
	Incarnation string
	Control     Control
	Directory   *platform.Directory
	Config      *platform.Config
}

// Announce makes an agent known.
func (s *Server) Announce(ctx context.Context, req *connect.Request[wirepb.AnnounceRequest]) (*connect.Response[wirepb.AnnounceResponse], error) {
	info := req.Msg.Agent
	if info.GetIncarnation() == "" || info.GetAddress() == "" || info.GetService() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("agent: incarnation, address and service are needed"))
	}
	s.Control.Announce(ctx, info)
	return connect.NewResponse(&wirepb.AnnounceResponse{
		Entries:     s.Directory.Addresses(),
		Incarnation: s.Incarnation,
	}), nil
}

// Join makes another entry known, and tells it of the agents of its region.
func (s *Server) Join(ctx context.Context, req *connect.Request[wirepb.JoinRequest]) (*connect.Response[wirepb.JoinResponse], error) {
	row := req.Msg.Entry
	if row.GetIncarnation() == "" || row.GetPeerAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("entry: incarnation and peer address are needed"))
	}
	s.Directory.Add(row)
	resp := &wirepb.JoinResponse{Incarnation: s.Incarnation}
	if row.Region != s.Directory.Self.Region {
		return connect.NewResponse(resp), nil
	}
	agents, err := s.Control.Known(ctx)
	if err != nil {
		return nil, err
	}
	resp.Agents = agents
	return connect.NewResponse(resp), nil
}

// Await waits for the answer of a job, cancels it, or returns its state.
func (s *Server) Await(ctx context.Context, req *connect.Request[wirepb.AwaitRequest]) (*connect.Response[wirepb.AwaitResponse], error) {
	key := caller.Key{Team: req.Msg.Team, ID: req.Msg.JobId}
	if req.Msg.Mode == wirepb.AwaitMode_AWAIT_MODE_PEEK {
		return s.peek(ctx, key)
	}
	cancel := req.Msg.Mode == wirepb.AwaitMode_AWAIT_MODE_CANCEL
	answer, known, err := s.Control.Await(ctx, key, req.Msg.Digest, cancel)
	if err != nil {
		return nil, err
	}
	resp := encode(answer)
	resp.Incarnation = s.Incarnation
	resp.Known = known
	resp.Finished = true
	return connect.NewResponse(resp), nil
}

func (s *Server) peek(ctx context.Context, key caller.Key) (*connect.Response[wirepb.AwaitResponse], error) {
	p, known, err := s.Control.Peek(ctx, key)
	if err != nil {
		return nil, err
	}
	resp := &wirepb.AwaitResponse{}
	if p.Finished {
		resp = encode(p.Answer)
	}
	resp.Incarnation = s.Incarnation
	resp.Known = known
	resp.Finished = p.Finished
	resp.Progress = p.Progress
	return connect.NewResponse(resp), nil
}

// Sync returns the sections that the sender lacks.
func (s *Server) Sync(ctx context.Context, req *connect.Request[wirepb.SyncRequest]) (*connect.Response[wirepb.SyncResponse], error) {
	version, sections := s.Config.Since(req.Msg.Version)
	resp := &wirepb.SyncResponse{
		Incarnation: s.Incarnation,
		Version:     version,
		Sections:    sections,
	}
	if req.Msg.Agents {
		resp.Agents = s.Control.Agents(ctx)
	}
	return connect.NewResponse(resp), nil
}

func encode(a caller.Answer) *wirepb.AwaitResponse {
	return &wirepb.AwaitResponse{
		Complete:   a.Complete,
		Results:    a.Results,
		Reason:     uint32(a.Reason),
		MayHaveRun: a.MayHaveRun,
		Detail:     a.Detail,
	}
}

func decode(r *wirepb.AwaitResponse) caller.Answer {
	return caller.Answer{
		Complete:   r.Complete,
		Results:    r.Results,
		Reason:     reason.Reason(r.Reason),
		MayHaveRun: r.MayHaveRun,
		Detail:     r.Detail,
	}
}

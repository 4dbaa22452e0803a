// Package peer implements the server and the client of the EntryPeer service, by
// which agents announce themselves to an entry, and entries exchange the answers
// of jobs, the configuration and lists of agents.
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

// Control is the part of an entry's control state that other processes use.
type Control interface {
	// AddAgent adds or updates an agent by its description.
	AddAgent(ctx context.Context, info *wirepb.AgentInfo)
	// Await waits for the answer of a job, after cancelling the job if cancel is
	// set. Known reports whether this entry holds the job.
	Await(ctx context.Context, key caller.Key, digest []byte, cancel bool) (a caller.Answer, known bool, err error)
	// Peek returns the current status of a job. Known reports whether this entry
	// holds the job.
	Peek(ctx context.Context, key caller.Key) (p caller.JobStatus, known bool, err error)
	// AvailableAgents returns the descriptions of the agents that are linked and
	// accept starts.
	AvailableAgents(ctx context.Context) ([]*wirepb.AgentInfo, error)
	// AgentConfigVersions returns the configuration version in force at each
	// agent.
	AgentConfigVersions(ctx context.Context) []*wirepb.ProcessVersion
}

// Server serves the EntryPeer service.
type Server struct {
	Incarnation string
	Control     Control
	Directory   *platform.Directory
	Config      *platform.Config
}

// Announce adds or updates the agent that sends the request, unless that is only a
// lookup, and returns the live entries of the region.
func (s *Server) Announce(ctx context.Context, req *connect.Request[wirepb.AnnounceRequest]) (*connect.Response[wirepb.AnnounceResponse], error) {
	if req.Msg.Lookup {
		return connect.NewResponse(s.announceResponse()), nil
	}
	info := req.Msg.Agent
	if info.GetIncarnation() == "" || info.GetAddress() == "" || info.GetService() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("agent: incarnation, address and service are required"))
	}
	s.Control.AddAgent(ctx, info)
	return connect.NewResponse(s.announceResponse()), nil
}

func (s *Server) announceResponse() *wirepb.AnnounceResponse {
	return &wirepb.AnnounceResponse{Incarnation: s.Incarnation, Entries: s.Directory.EntryAddresses()}
}

// Join adds the entry that sends the request to the directory, and returns the
// agents that select it and the live entries if both entries are of the same region.
func (s *Server) Join(ctx context.Context, req *connect.Request[wirepb.JoinRequest]) (*connect.Response[wirepb.JoinResponse], error) {
	row := req.Msg.Entry
	if row.GetIncarnation() == "" || row.GetPeerAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("entry: incarnation and peer address are required"))
	}
	s.Directory.AddAnnounced(row)
	resp := &wirepb.JoinResponse{Incarnation: s.Incarnation}
	if row.Region != s.Directory.Self.Region {
		return connect.NewResponse(resp), nil
	}
	agents, err := s.Control.AvailableAgents(ctx)
	if err != nil {
		return nil, err
	}
	resp.Agents = agentsSelecting(s.Directory, row.PeerAddress, agents)
	for _, p := range s.Directory.RegionEntries() {
		resp.Entries = append(resp.Entries, p.Row())
	}
	return connect.NewResponse(resp), nil
}

// Await waits for the answer of a job that this incarnation owns, after cancelling
// the job in mode CANCEL. In
// mode PEEK it returns the current status of the job instead, without waiting.
func (s *Server) Await(ctx context.Context, req *connect.Request[wirepb.AwaitRequest]) (*connect.Response[wirepb.AwaitResponse], error) {
	if req.Msg.Owner != "" && req.Msg.Owner != s.Incarnation {
		return connect.NewResponse(&wirepb.AwaitResponse{Incarnation: s.Incarnation}), nil
	}
	key := caller.Key{Team: req.Msg.Team, ID: req.Msg.JobId}
	if req.Msg.Mode == wirepb.AwaitMode_AWAIT_MODE_PEEK {
		return s.peek(ctx, key)
	}
	cancel := req.Msg.Mode == wirepb.AwaitMode_AWAIT_MODE_CANCEL
	answer, known, err := s.Control.Await(ctx, key, req.Msg.Digest, cancel)
	if err != nil {
		return nil, err
	}
	resp := encodeAnswer(answer)
	resp.Incarnation = s.Incarnation
	resp.Known = known
	resp.Finished = true
	return connect.NewResponse(resp), nil
}

// peek returns the current status of a job.
func (s *Server) peek(ctx context.Context, key caller.Key) (*connect.Response[wirepb.AwaitResponse], error) {
	p, known, err := s.Control.Peek(ctx, key)
	if err != nil {
		return nil, err
	}
	resp := &wirepb.AwaitResponse{}
	if p.Finished {
		resp = encodeAnswer(p.Answer)
	}
	resp.Incarnation = s.Incarnation
	resp.Known = known
	resp.Finished = p.Finished
	resp.Progress = p.Progress
	return connect.NewResponse(resp), nil
}

// Sync returns the configuration sections that are newer than the sender's
// version, and the versions at the agents if requested.
func (s *Server) Sync(ctx context.Context, req *connect.Request[wirepb.SyncRequest]) (*connect.Response[wirepb.SyncResponse], error) {
	version, sections := s.Config.SectionsSince(req.Msg.Version)
	resp := &wirepb.SyncResponse{
		Incarnation: s.Incarnation,
		Version:     version,
		Sections:    sections,
	}
	if req.Msg.Agents {
		resp.Agents = s.Control.AgentConfigVersions(ctx)
	}
	return connect.NewResponse(resp), nil
}

func encodeAnswer(a caller.Answer) *wirepb.AwaitResponse {
	return &wirepb.AwaitResponse{
		Complete:   a.Complete,
		Results:    a.Results,
		Reason:     uint32(a.Reason),
		MayHaveRun: a.MayHaveRun,
		Detail:     a.Detail,
	}
}

func decodeAnswer(r *wirepb.AwaitResponse) caller.Answer {
	return caller.Answer{
		Complete:   r.Complete,
		Results:    r.Results,
		Reason:     reason.Reason(r.Reason),
		MayHaveRun: r.MayHaveRun,
		Detail:     r.Detail,
	}
}

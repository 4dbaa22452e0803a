package h2c_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

// joinServer answers Join with a fixed number of agents.
type joinServer struct {
	wirepb.UnimplementedEntryPeerHandler
	agents int
}

func (s *joinServer) Join(context.Context, *connect.Request[wirepb.JoinRequest]) (*connect.Response[wirepb.JoinResponse], error) {
	resp := &wirepb.JoinResponse{}
	for range s.agents {
		resp.Agents = append(resp.Agents, &wirepb.AgentInfo{Id: strings.Repeat("a", 40)})
	}
	return connect.NewResponse(resp), nil
}

func TestOnlyLargeMessagesAreCompressed(t *testing.T) {
	for _, test := range []struct {
		agents int
		want   string
	}{{0, ""}, {5, ""}, {200, "gzip"}} {
		mux := http.NewServeMux()
		mux.Handle(wirepb.NewEntryPeerHandler(&joinServer{agents: test.agents}, h2c.HandlerOptions()))
		server := httptest.NewServer(mux)
		resp, err := wirepb.NewEntryPeerClient(http.DefaultClient, server.URL).Join(t.Context(), connect.NewRequest(&wirepb.JoinRequest{}))
		server.Close()
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.Header().Get("Content-Encoding"); got != test.want {
			t.Errorf("%d agents: content encoding %q, want %q", test.agents, got, test.want)
		}
	}
}

// Guards against memory for compressed requests, which take up to a thousand times of
// what they have on the wire.
func TestCompressedRequestsAreRefused(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(wirepb.NewEntryPeerHandler(&joinServer{}, h2c.HandlerOptions()))
	server := httptest.NewServer(mux)
	defer server.Close()
	req := &wirepb.JoinRequest{Entry: &wirepb.EntryRow{Id: strings.Repeat("a", 1<<20)}}
	if _, err := wirepb.NewEntryPeerClient(http.DefaultClient, server.URL, connect.WithSendGzip()).Join(t.Context(), connect.NewRequest(req)); err == nil {
		t.Error("a compressed request was served")
	}
}

package endpoint_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// serve returns a runner for an endpoint that responds with handler, and the
// number of requests that the endpoint has received.
func serve(t *testing.T, handler http.HandlerFunc) (*endpoint.SyncRunner, *atomic.Int64) {
	t.Helper()
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	r := endpoint.NewSyncRunner(endpoint.Announcement{Address: server.Listener.Addr().String(), Slots: 2, Connections: 2})
	t.Cleanup(r.Close)
	return r, &requests
}

func echo(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(w, r.Body)
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    reason.Reason
		notRun  bool
	}{
		{"success", echo, reason.Unspecified, false},
		{"failure", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "x", http.StatusInternalServerError) }, reason.EndpointFailed, false},
		{"unavailable, may have run", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "x", http.StatusServiceUnavailable) }, reason.EndpointFailed, false},
		{"refused as not run", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.HeaderNotRun, "true")
			http.Error(w, "x", http.StatusServiceUnavailable)
		}, reason.EndpointRefused, true},
		{"connection lost after the start", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, reason.EndpointFailed, false},
		{"result too large", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2<<20)) }, reason.EndpointFailed, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, _ := serve(t, tt.handler)
			o := r.Run(t.Context(), endpoint.Task{Payload: []byte("p")})
			if o.Reason != tt.want || o.NotRun != tt.notRun {
				t.Errorf("outcome %+v, want %s, not run %t", o, tt.want, tt.notRun)
			}
		})
	}
}

func TestNoListenerIsNotRun(t *testing.T) {
	r := endpoint.NewSyncRunner(endpoint.Announcement{Address: "127.0.0.1:1", Slots: 1})
	o := r.Run(t.Context(), endpoint.Task{Payload: []byte("p")})
	if o.Reason != reason.EndpointGone || !o.NotRun {
		t.Errorf("outcome %+v, want endpoint_gone as not run", o)
	}
}

// A start that expires between the first check and the write must not reach the
// endpoint.
func TestStartExpiresBeforeWrite(t *testing.T) {
	for _, payload := range []string{"p", strings.Repeat("p", 100_000)} {
		r, requests := serve(t, echo)
		// On a connection that was used before, the write loop is already
		// waiting.
		if o := r.Run(t.Context(), endpoint.Task{Payload: []byte("first")}); string(o.Result) != "first" {
			t.Fatalf("first run: outcome %+v, want the payload as result", o)
		}
		var checks atomic.Int64
		o := r.Run(t.Context(), endpoint.Task{
			Payload:  []byte(payload),
			MayStart: func() bool { return checks.Add(1) == 1 },
		})
		if o.Reason != reason.ViewUnconfirmed || !o.NotRun {
			t.Errorf("outcome %+v, want view_unconfirmed as not run", o)
		}
		if n := requests.Load(); n != 1 {
			t.Errorf("the endpoint received %d requests, want the first only", n)
		}
		if n := checks.Load(); n < 2 {
			t.Errorf("MayStart was called %d times, want a second call before the write", n)
		}
	}
}

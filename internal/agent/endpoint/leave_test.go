package endpoint_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
)

func TestLeaveNeedsTheAddress(t *testing.T) {
	for _, tt := range []struct {
		name, body string
		announced  bool
		want       int
	}{
		{"no address, nothing announced", `{}`, false, http.StatusBadRequest},
		{"no address", `{}`, true, http.StatusBadRequest},
		{"another address", `{"address":"127.0.0.1:2"}`, true, http.StatusNotFound},
		{"the address", `{"address":"127.0.0.1:1"}`, true, http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var g endpoint.Registry
			if tt.announced {
				if err := g.Announce(endpoint.Announcement{ID: "i", Service: "s", Address: "127.0.0.1:1", Slots: 1}); err != nil {
					t.Fatal(err)
				}
			}
			w := httptest.NewRecorder()
			g.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/leave", strings.NewReader(tt.body)))
			if w.Code != tt.want {
				t.Errorf("status %d, want %d", w.Code, tt.want)
			}
		})
	}
}

// A heartbeat that arrives after its sender has announced its end and left must not
// register the endpoint again.
func TestLateHeartbeatAfterLeave(t *testing.T) {
	var current endpoint.Announcement
	g := &endpoint.Registry{OnChange: func(a endpoint.Announcement) { current = a }}
	announce := func(sequence int64, draining bool) {
		t.Helper()
		if err := g.Announce(endpoint.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 1, ID: "i", StartedMS: 1000, Sequence: sequence, Draining: draining}); err != nil {
			t.Fatal(err)
		}
	}
	announce(1, false)
	announce(3, true)
	g.Leave("i")
	announce(2, false)
	if current.Address != "" {
		t.Errorf("registered again by an older heartbeat: draining %t", current.Draining)
	}
}

// Guards against an endpoint that gets no tasks since another writer announces it with a
// service of its own, and with a sequence number by which the endpoint's announcements are
// older.
func TestServiceOfAnIncarnation(t *testing.T) {
	var current endpoint.Announcement
	g := &endpoint.Registry{OnChange: func(a endpoint.Announcement) { current = a }}
	announced := endpoint.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 1, ID: "i", StartedMS: 1000, Sequence: 1}
	other := announced
	other.Service, other.Sequence = "other", 1_000_000
	next := announced
	next.Sequence, next.Slots = 2, 2
	for _, a := range []endpoint.Announcement{announced, other, next} {
		if err := g.Announce(a); err != nil {
			t.Fatal(err)
		}
	}
	if current.Service != "s" || current.Slots != 2 {
		t.Errorf("current announcement %+v, want the endpoint's latest", current)
	}
	next.StartedMS, next.Service = 2000, "other"
	if err := g.Announce(next); err != nil || current.Service != "other" {
		t.Errorf("current announcement %+v, error %v, want the next incarnation's", current, err)
	}
}

// Another endpoint that started before the one that has left must be registered at once.
func TestEarlierEndpointAfterLeave(t *testing.T) {
	var current endpoint.Announcement
	g := &endpoint.Registry{OnChange: func(a endpoint.Announcement) { current = a }}
	for i, id := range []string{"i", "j"} {
		if err := g.Announce(endpoint.Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 1, ID: id, StartedMS: 1000 - int64(i), Sequence: 1}); err != nil {
			t.Fatal(err)
		}
		if current.ID != id {
			t.Fatalf("%q is registered, want %q", current.ID, id)
		}
		g.Leave(id)
	}
}

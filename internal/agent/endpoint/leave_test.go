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

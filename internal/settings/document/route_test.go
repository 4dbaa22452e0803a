package document_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/settings/document"
)

func TestRoute(t *testing.T) {
	doc, err := document.Document{}.WithSection(document.Routes, []byte(`{"routes":[
		{"name":"short","host":"A.example","path_prefix":"/q/","service":"s","stretch":1.5,"target_ms":60},
		{"name":"long","host":"a.example","path_prefix":"/q/long/","service":"s"},
		{"name":"other","host":"b.example","path_prefix":"/","service":"s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		host, path string
		name, rest string
		ok         bool
	}{
		{"a.example", "/q/1", "short", "1", true},
		{"A.EXAMPLE", "/q/long/1", "long", "1", true},
		{"a.example", "/q/long", "short", "long", true},
		{"a.example", "/x", "", "", false},
		{"b.example", "/q/1", "other", "q/1", true},
		{"c.example", "/q/1", "", "", false},
	}
	for _, tt := range tests {
		r, rest, ok := doc.Route(tt.host, tt.path)
		if r.Name != tt.name || rest != tt.rest || ok != tt.ok {
			t.Errorf("%s%s: %q, %q, %t, want %q, %q, %t", tt.host, tt.path, r.Name, rest, ok, tt.name, tt.rest, tt.ok)
		}
	}
	r, _, _ := doc.Route("a.example", "/q/1")
	if got := r.DueAfter(100 * time.Millisecond); got != 210*time.Millisecond {
		t.Errorf("due after %s, want 210ms", got)
	}
}

func TestRouteFindings(t *testing.T) {
	for _, body := range []string{
		`{"routes":[{"name":"r"}]}`,
		`{"routes":[{"name":"r","host":"h","path_prefix":"q","service":"s"}]}`,
		`{"routes":[{"name":"r","host":"h","path_prefix":"/q","service":"s","timeout_ms":-1}]}`,
		`{"routes":null}`,
	} {
		if err := document.Check(document.Routes, "f", []byte(body)); err == nil {
			t.Errorf("%s: no finding, want one", body)
		}
	}
}

package main_test

import (
	"encoding/json"
	"os"
	"syscall"
	"testing"
	"time"
)

// SIGHUP makes a process read its settings again. A file with findings changes
// nothing, and no process ends.
func TestReload(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1, 1, shortWork)
	l := s.startLoad(2)
	for _, h := range s.hosts {
		text, err := os.ReadFile(h.settings)
		if err != nil {
			t.Fatal(err)
		}
		var settings map[string]any
		if err := json.Unmarshal(text, &settings); err != nil {
			t.Fatal(err)
		}
		settings["stop_timeout_s"] = "soon"
		h.reload(t, settings)
		h.field("settings not reloaded", "id")
		settings["stop_timeout_s"] = 6
		seeds := map[string]string{"entry": "seeds", "agent": "entries"}[h.role]
		settings[seeds] = []string{s.entries[0].ip + ":8166", newIP() + ":8166"}
		h.reload(t, settings)
		h.field("settings reloaded", "id")
	}
	time.Sleep(500 * time.Millisecond)
	l.end()
	if l.broken+l.unopened+l.refused > 0 {
		t.Error("a reload disturbed callers")
	}
}

func (h *siteHost) reload(t *testing.T, settings map[string]any) {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(h.settings, text, 0o600); err != nil {
		t.Fatal(err)
	}
	h.signal(syscall.SIGHUP)
}

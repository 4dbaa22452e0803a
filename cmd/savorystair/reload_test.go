package main_test

import (
	"encoding/json"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestReload sends SIGHUP to an entry and an agent under load, which makes them
// reload their settings. An invalid settings file must leave the settings in
// force, and no process may exit. A refused job or a failed connection fails the
// test.
func TestReload(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1, 1, shortRunTime)
	l := s.startLoad(2)
	for _, h := range s.hosts {
		text, err := os.ReadFile(h.settingsFile)
		if err != nil {
			t.Fatal(err)
		}
		var settings map[string]any
		if err := json.Unmarshal(text, &settings); err != nil {
			t.Fatal(err)
		}
		settings["stop_timeout_s"] = "soon"
		h.reload(t, settings)
		h.waitLogField("settings not reloaded", "id")
		settings["stop_timeout_s"] = 6
		seeds := map[string]string{"entry": "seeds", "agent": "entries"}[h.role]
		settings[seeds] = []string{s.entries[0].ip + ":8166", newLoopbackIP() + ":8166"}
		h.reload(t, settings)
		h.waitLogField("settings reloaded", "id")
	}
	time.Sleep(500 * time.Millisecond)
	l.stop()
	if l.brokenConnections+l.refusedConnections+l.refusedJobs > 0 {
		t.Error("a job was refused or a connection failed during a reload, want neither")
	}
}

// reload replaces the settings file of the process and sends it SIGHUP.
func (h *siteHost) reload(t *testing.T, settings map[string]any) {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(h.settingsFile, text, 0o600); err != nil {
		t.Fatal(err)
	}
	h.signal(syscall.SIGHUP)
}

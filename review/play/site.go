package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/savorystair/savorystair/platform/standin"
)

// Settings as the templates of the deployment render them for a small site.
const (
	program       = "target/savorystair"
	heartbeatMS   = 1500
	maxHoldMS     = 1000
	retransmitMS  = 1300
	graceS        = 6
	startTimeout  = 20 * time.Second
	serviceName   = "survey-api"
	queueHost     = "queue.example"
	queuePrefix   = "/title-check/"
	callerTimeout = 1500 * time.Millisecond
)

// site is a small deployment: entries, and agents that each have an endpoint.
type site struct {
	rec     *record
	dir     string
	store   *standin.Store
	server  *standin.StoreServer
	entries []*host
	agents  []*host

	mu        sync.Mutex
	jobs      map[string]jobSpec   // by id
	cancelled map[string]time.Time // when the cancelling of a job was acknowledged
	// work counts the callers that have not got their answer.
	work sync.WaitGroup
}

// host is a host with one process of the system.
type host struct {
	name, role, zone string
	settings         string            // file
	addresses        map[string]string // listen addresses, by purpose
	process          *exec.Cmd
	output           *os.File
	endpoint         *endpoint // beside an agent
}

// newSite starts the store of a site without hosts.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, store: standin.NewStore(), jobs: map[string]jobSpec{}, cancelled: map[string]time.Time{}}
	s.server, err = standin.NewStoreServer(s.store)
	if err != nil {
		return nil, err
	}
	s.store.SetRoutes(7, standin.Route{
		Name: "r-1", Host: queueHost, PathPrefix: queuePrefix, Service: serviceName,
		MaxAttempts: 3, Stretch: 1.6, TargetLatency: 60 * time.Millisecond,
	})
	return s, nil
}

// close ends every process that the site has started, and removes its folder.
func (s *site) close() {
	for _, h := range append(append([]*host{}, s.agents...), s.entries...) {
		h.kill()
		if h.endpoint != nil {
			h.endpoint.crash()
		}
		h.output.Close()
	}
	s.server.Close()
	os.RemoveAll(s.dir)
}

// start starts the given numbers of entries and agents, the latter with endpoints that
// have the given labels, and waits until every entry reports that it is ready.
func (s *site) start(entries int, labels ...[]string) error {
	for i := range entries {
		h, err := s.newHost("entry", i, "caller", "operator", "peer", "ready")
		if err != nil {
			return err
		}
		s.entries = append(s.entries, h)
	}
	for i := range labels {
		h, err := s.newHost("agent", i, "link", "endpoint", "app")
		if err != nil {
			return err
		}
		h.endpoint = &endpoint{site: s, host: h, id: fmt.Sprintf("i-%04d", i)}
		s.agents = append(s.agents, h)
	}
	for _, h := range append(append([]*host{}, s.entries...), s.agents...) {
		if err := s.writeSettings(h); err != nil {
			return err
		}
		if err := h.startProcess(); err != nil {
			return err
		}
	}
	for i, h := range s.agents {
		if err := h.endpoint.boot(labels[i]); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// ports are the ports that a process listens on, by purpose, and that of the endpoint
// beside an agent.
var ports = map[string]int{"caller": 8161, "ready": 8167, "peer": 8166, "operator": 7735, "endpoint": 8166, "link": 7720, "app": 8165}

// newHost returns a host whose process has an address for each purpose. Each host has a
// loopback address of its own, which depends on the id of this process as well.
func (s *site) newHost(role string, i int, purposes ...string) (*host, error) {
	h := &host{name: fmt.Sprintf("%s-%d", role, i), role: role, zone: fmt.Sprintf("zone-%d", i%3), addresses: map[string]string{}}
	h.settings = filepath.Join(s.dir, h.name+".json")
	var err error
	if h.output, err = os.Create(filepath.Join(s.dir, h.name+".log")); err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250+1, len(s.entries)+len(s.agents)+1)
	for _, purpose := range purposes {
		h.addresses[purpose] = fmt.Sprintf("%s:%d", ip, ports[purpose])
	}
	return h, nil
}

// writeSettings writes the settings file of a host, with the keys of the templates.
func (s *site) writeSettings(h *host) error {
	var seeds []string
	for _, e := range s.entries {
		seeds = append(seeds, e.addresses["peer"])
	}
	settings := map[string]any{
		"id": h.name, "zone": h.zone, "link_address": h.addresses["link"], "endpoint_address": h.addresses["endpoint"],
		"entries": seeds, "heartbeat_ms": heartbeatMS, "lease_ms": maxHoldMS, "resubmit_ms": retransmitMS,
		"queue_per_slot": 0.1, "stop_timeout_s": graceS,
		"adapter": map[string]any{"table_address": s.server.Address()},
	}
	if h.role == "entry" {
		settings = map[string]any{
			"id": h.name, "region": "region", "zone": h.zone, "caller_address": h.addresses["caller"],
			"operator_address": h.addresses["operator"], "peer_address": h.addresses["peer"],
			"table_address": s.server.Address(), "seeds": seeds, "stop_timeout_s": graceS,
			"adapter": map[string]any{"ready_address": h.addresses["ready"], "accept_ms": 2500, "memory_mb": 284},
		}
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, text, 0o600)
}

// startProcess starts the process of a host.
func (h *host) startProcess() error {
	h.process = exec.Command(program, h.role)
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYSTAIR_SETTINGS=" + h.settings}
	h.process.Stdout, h.process.Stderr = h.output, h.output
	return h.process.Start()
}

// kill kills the process of a host and waits for its end.
func (h *host) kill() {
	if h.process == nil || h.process.Process == nil {
		return
	}
	// An error means that the process has ended, as it should.
	_ = h.process.Process.Signal(syscall.SIGKILL)
	_ = h.process.Wait()
	h.process = nil
}

// awaitReady waits until every entry reports that it is ready.
func (s *site) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range s.entries {
			resp, err := client.Get("http://" + e.addresses["ready"] + "/savorystair/readiness")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) {
			return nil
		}
	}
	return fmt.Errorf("the entries were not ready within %s", startTimeout)
}

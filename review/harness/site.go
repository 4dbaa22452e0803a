package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/savorystair/savorystair/platform/standin"
)

const (
	// program is the program of the deploy file.
	program = "target/savorystair"
	// resubmitDelay is retransmit_ms of a small deployment.
	resubmitDelay = 1300
	// readyTimeout bounds the wait until a site serves.
	readyTimeout = 20 * time.Second
	// host is the host of all queues.
	host = "hura70.example"
)

// ports are the ports of a machine, which are the same on all of them.
var ports = map[string]int{"caller": 8161, "peer": 8166, "endpoint": 8166, "ready": 8167, "link": 7720, "operator": 7735}

// process is an entry or an agent, in a process of its own.
type process struct {
	name, role, settings string
	log                  *os.File
	command              *exec.Cmd
	store                *standin.StoreServer
	addresses            map[string]string
}

// site is a small deployment on loopback addresses.
type site struct {
	folder  string
	record  *record
	store   *standin.Store
	entries []*process
	agents  []*process
	minions []*minion

	machines int
}

// newSite starts a deployment and waits until it serves. Each queue has a service of its
// own, and the minions are divided among the services.
func newSite(entries, agents, queues int, r *record) (*site, error) {
	s := &site{record: r, store: standin.NewStore()}
	folder, err := os.MkdirTemp("", "site")
	if err != nil {
		return s, err
	}
	s.folder = folder
	var routes []standin.Route
	for q := range queues {
		routes = append(routes, standin.Route{Name: fmt.Sprintf("q%d", q), Host: host, PathPrefix: pathPrefix(q), Service: serviceName(q), MaxAttempts: 3, Stretch: 1.6, TargetLatency: 60 * time.Millisecond})
	}
	s.store.SetRoutes(1, routes...)
	var seeds []string
	for i := range entries {
		p, err := s.newProcess(fmt.Sprintf("front-%d", i+1), "entry", "caller", "operator", "peer", "ready")
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, p)
		seeds = append(seeds, p.addresses["peer"])
	}
	for i := range agents {
		p, err := s.newProcess(fmt.Sprintf("side-%d", i+1), "agent", "link", "endpoint")
		if err != nil {
			return s, err
		}
		s.agents = append(s.agents, p)
	}
	for i, p := range s.entries {
		err = errors.Join(err, s.start(p, map[string]any{
			"id": p.name, "region": "valle", "zone": zoneName(i), "caller_address": p.addresses["caller"], "operator_address": p.addresses["operator"],
			"peer_address": p.addresses["peer"], "table_address": p.store.Address(), "seeds": seeds, "stop_timeout_s": 6,
			"adapter": map[string]any{"ready_address": p.addresses["ready"], "accept_ms": 2500, "memory_mb": 284, "max_descriptors": 4100},
		}))
	}
	for i, p := range s.agents {
		err = errors.Join(err, s.start(p, map[string]any{
			"id": p.name, "zone": zoneName(i), "link_address": p.addresses["link"], "endpoint_address": p.addresses["endpoint"], "entries": seeds,
			"heartbeat_ms": heartbeatInterval.Milliseconds(), "lease_ms": maxHold.Milliseconds(), "resubmit_ms": resubmitDelay, "queue_per_slot": 0.1,
			"stop_timeout_s": 6, "adapter": map[string]any{"table_address": p.store.Address(), "memory_mb": 152, "max_descriptors": 4096},
		}))
		if err != nil {
			return s, err
		}
		m, err := startMinion("i-"+p.name, serviceName(i%queues), zoneName(i), p.addresses["endpoint"], r)
		if err != nil {
			return s, err
		}
		s.minions = append(s.minions, m)
	}
	return s, errors.Join(err, s.awaitServing(queues))
}

func pathPrefix(queue int) string { return fmt.Sprintf("/kalo%d/", 370+queue) }

func serviceName(queue int) string { return fmt.Sprintf("pedidos-%d", queue) }

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%3+1) }

// newProcess returns a process that is not started yet, on a machine of its own.
func (s *site) newProcess(name, role string, addresses ...string) (*process, error) {
	store, err := standin.NewStoreServer(s.store)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, role: role, store: store, addresses: map[string]string{}}
	ip := s.newIP()
	for _, a := range addresses {
		p.addresses[a] = fmt.Sprintf("%s:%d", ip, ports[a])
	}
	p.settings = filepath.Join(s.folder, name+".json")
	p.log, err = os.Create(filepath.Join(s.folder, name+".log"))
	return p, err
}

// newIP returns a loopback address for one machine. It contains the process id, so that
// cases that run at the same time use different ones.
func (s *site) newIP() string {
	s.machines++
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250+1, s.machines)
}

// start writes the settings of a process and starts it, as the deploy file does.
func (s *site) start(p *process, settings map[string]any) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return err
	}
	return p.run()
}

// run starts the program of a process.
func (p *process) run() error {
	p.command = exec.Command(program, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYSTAIR_SETTINGS=" + p.settings}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	return p.command.Start()
}

// signal sends a signal to a process.
func (p *process) signal(sig syscall.Signal) { _ = p.command.Process.Signal(sig) }

// close ends all processes that the site has started.
func (s *site) close() {
	for _, m := range s.minions {
		m.close()
	}
	for _, p := range append(s.entries, s.agents...) {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		}
		p.store.Close()
		_ = p.log.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// awaitServing waits until each entry completes a job of each queue.
func (s *site) awaitServing(queues int) error {
	deadline := time.Now().Add(readyTimeout)
	for i := range len(s.entries) * queues {
		p, queue := s.entries[i/queues], i%queues
		for n := 0; ; n++ {
			a := s.call(context.Background(), http.MethodPost, p, fmt.Sprintf("%s%014x%02x", pathPrefix(queue), n, i), jobBody("ms=20", 1, 1, 20), 1500*time.Millisecond)
			if a.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve: %d %s", p.name, a.status, a.body)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// answer is what a client received; status 0 stands for no answer.
type answer struct {
	status int
	body   string
}

// submit hands in a job to the first queue and waits for the answer for as long as the client's limit.
func (s *site) submit(ctx context.Context, p *process, id string, body []byte, limit time.Duration) answer {
	return s.call(ctx, http.MethodPost, p, pathPrefix(0)+id, body, limit)
}

// call sends one request of a client on a connection of its own.
func (s *site) call(ctx context.Context, method string, p *process, path string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.addresses["caller"]+path, bytes.NewReader(body))
	if err != nil {
		return answer{body: err.Error()}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	s.record.add("send", method, path, "to", p.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a := answer{}
	resp, err := client.Do(req)
	if err != nil {
		a.body = err.Error()
	} else {
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a = answer{resp.StatusCode, strings.TrimSpace(string(text))}
	}
	s.record.add("answer", method, path, "by", p.name, a.status, a.body)
	return a
}

// jobBody returns a job of steps that follow one another.
func jobBody(spec string, steps, width, estimateMS int) []byte {
	type step struct {
		Count    int   `json:"count"`
		CPU      int   `json:"cpu"`
		MemoryMB int   `json:"mem_mb"`
		Estimate int   `json:"estimate_ms"`
		After    []int `json:"after,omitempty"`
	}
	var all []step
	for i := range steps {
		st := step{Count: width, CPU: 500, MemoryMB: 64, Estimate: estimateMS}
		if i > 0 {
			st.After = []int{i - 1}
		}
		all = append(all, st)
	}
	text, _ := json.Marshal(map[string]any{"spec": spec, "best_effort": true, "steps": all})
	return text
}

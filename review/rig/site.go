package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/savorystair/savorystair/platform/standin"
)

// Bounds of a small deployment, as its settings have them.
const (
	// RetransmitDelay is how long after a broken connection a client sends a job again.
	RetransmitDelay = 1300 * time.Millisecond
	// HeartbeatInterval is how often a minion sends a heartbeat.
	HeartbeatInterval = 1500 * time.Millisecond
	// ContactTime is how long a machine has to be without disruption to be in touch.
	ContactTime = 3 * time.Second
)

const (
	// program is what the deploy file builds.
	program = "target/savorystair"
	// portsFreeAttempts is how many sets of addresses are tried.
	portsFreeAttempts = 50

	callerPort, readinessPort, controlPort = 8161, 8167, 8166
	linkPort, operatorPort, minionPort     = 7720, 7735, 8080
	storePort                              = 8169
)

// Site is a small deployment: entries and agents as processes, and a store.
type Site struct {
	Store    *standin.Store
	Record   *Record
	network  string // the first two numbers of all addresses
	folder   string
	server   *standin.StoreServer
	children []*child
	entries  int
	// StoreProxies stand between the entries and the store, if Options.ProxyStore is set.
	StoreProxies []*Proxy
	releaseDark  func()
}

type child struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

// Zone returns the zone of the machine with a number.
func Zone(number int) string { return fmt.Sprintf("zone-%d", number%3) }

// Options are what a case changes of a site.
type Options struct {
	Entries, Agents int
	// StaleSeed makes the third seed the address of a machine that is gone.
	StaleSeed bool
	// ProxyStore makes each entry reach the store through a proxy of its own.
	ProxyStore bool
}

// StartSite starts entries and agents. The route's queue is the first desired state.
func StartSite(record *Record, route standin.Route, o Options) (*Site, error) {
	folder, err := os.MkdirTemp("", "savorystair-review-")
	if err != nil {
		return nil, err
	}
	s := &Site{Store: standin.NewStore(), Record: record, folder: folder, entries: o.Entries}
	s.Store.SetRoutes(1, route)
	if s.server, err = standin.NewStoreServer(s.Store); err != nil {
		return nil, err
	}
	if s.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(o.Entries, 3) {
		seeds = append(seeds, address(s.entryIP(i), controlPort))
	}
	if o.StaleSeed {
		if seeds[2], err = s.occupyDarkAddress(); err != nil {
			return s, err
		}
	}
	for i := range o.Entries {
		ip, store := s.entryIP(i), s.server.Address()
		if o.ProxyStore {
			proxy, err := StartProxy(address(fmt.Sprintf("%s.4.%d", s.network, i+1), storePort), store)
			if err != nil {
				return s, err
			}
			s.StoreProxies = append(s.StoreProxies, proxy)
			store = proxy.Address()
		}
		if err := s.startChild(fmt.Sprintf("front-%d", i), "entry", map[string]any{
			"region": "region-1", "zone": Zone(i), "seeds": seeds, "stop_timeout_s": 6,
			"caller_address": address(ip, callerPort), "operator_address": address(ip, operatorPort),
			"peer_address": address(ip, controlPort), "table_address": store,
			"adapter": map[string]any{"ready_address": address(ip, readinessPort), "accept_ms": 2500, "memory_mb": 284, "max_descriptors": 4100},
		}); err != nil {
			return s, err
		}
	}
	for i := range o.Agents {
		if err := s.startChild(fmt.Sprintf("side-%d", i), "agent", map[string]any{
			"zone": Zone(i), "entries": seeds, "stop_timeout_s": 6, "queue_per_slot": 0.1,
			"link_address": address(s.agentIP(i), linkPort), "endpoint_address": s.AgentAddress(i),
			"heartbeat_ms": HeartbeatInterval.Milliseconds(), "lease_ms": maxHold.Milliseconds(), "resubmit_ms": RetransmitDelay.Milliseconds(),
			"adapter": map[string]any{"table_address": s.server.Address(), "memory_mb": 152, "max_descriptors": 4096},
		}); err != nil {
			return s, err
		}
	}
	return s, nil
}

// freeNetwork returns the first two numbers of loopback addresses that are unused.
func freeNetwork() (string, error) {
	for i := range portsFreeAttempts {
		network := fmt.Sprintf("127.%d", 64+(os.Getpid()+i)%128)
		listener, err := net.Listen("tcp", address(network+".1.1", controlPort))
		if err != nil {
			continue
		}
		return network, listener.Close()
	}
	return "", fmt.Errorf("no free loopback addresses after %d attempts", portsFreeAttempts)
}

// occupyDarkAddress returns an address at which connections hang.
func (s *Site) occupyDarkAddress() (string, error) {
	dark := s.network + ".5.1"
	var err error
	s.releaseDark, err = DarkAddress([4]byte(net.ParseIP(dark).To4()), controlPort)
	return address(dark, controlPort), err
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (s *Site) entryIP(number int) string { return fmt.Sprintf("%s.1.%d", s.network, number+1) }

func (s *Site) agentIP(number int) string { return fmt.Sprintf("%s.2.%d", s.network, number+1) }

// AgentAddress returns the control address of an agent.
func (s *Site) AgentAddress(number int) string { return address(s.agentIP(number), controlPort) }

// MinionAddress returns the address for the minion beside an agent.
func (s *Site) MinionAddress(number int) string {
	return address(fmt.Sprintf("%s.3.%d", s.network, number+1), minionPort)
}

// InnerMinionAddress returns the address of a minion that is called through a proxy at
// its MinionAddress.
func (s *Site) InnerMinionAddress(number int) string {
	return address(fmt.Sprintf("%s.6.%d", s.network, number+1), minionPort)
}

// CallerAddress returns the address at which an entry takes jobs.
func (s *Site) CallerAddress(number int) string { return address(s.entryIP(number), callerPort) }

// startChild starts a program of the deploy file with its settings. A child ends with
// the case, also if that is killed.
func (s *Site) startChild(name, role string, settings map[string]any) error {
	settings["id"] = name
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(s.folder, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, role)
	command.Env = append(os.Environ(), "SAVORYSTAIR_SETTINGS="+file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c := &child{name: name, command: command, exited: make(chan struct{})}
	started := make(chan error)
	go func() {
		// The signal at the parent's death comes when its thread ends.
		runtime.LockOSThread()
		defer close(c.exited)
		err := command.Start()
		started <- err
		if err == nil {
			// The exit status is in the process state.
			_ = command.Wait()
		}
	}()
	if err := <-started; err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	s.Record.Line("process", "%s started", name)
	s.children = append(s.children, c)
	return nil
}

// Ended returns the names of the processes that have ended.
func (s *Site) Ended() []string {
	var names []string
	for _, c := range s.children {
		select {
		case <-c.exited:
			names = append(names, c.name)
		default:
		}
	}
	return names
}

// Close ends all processes and removes their files.
func (s *Site) Close() {
	for _, c := range s.children {
		// An error means that the process has ended.
		_ = c.command.Process.Kill()
		<-c.exited
	}
	for _, p := range s.StoreProxies {
		p.Close()
	}
	if s.releaseDark != nil {
		s.releaseDark()
	}
	s.server.Close()
	// Files that are left in the temporary folder do no harm.
	_ = os.RemoveAll(s.folder)
}

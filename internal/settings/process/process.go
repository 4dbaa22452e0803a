// Package process holds the settings of the system's processes: their JSON
// files, defaults and checks.
package process

import (
	_ "embed" // the schemas
	"encoding/json"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/savorystair/savorystair/internal/settings/jsonfile"
)

//go:embed entry.schema.json
var entrySchemaText []byte

//go:embed agent.schema.json
var agentSchemaText []byte

var (
	entrySchema = jsonfile.MustCompile("entry.schema.json", entrySchemaText)
	agentSchema = jsonfile.MustCompile("agent.schema.json", agentSchemaText)
)

// Defaults of the optional settings.
const (
	defaultAnswerRetentionS = 120
	defaultMaxOpenJobs      = 20_000
	defaultMaxQueuedTasks   = 200_000
	defaultStopTimeoutS     = 30
	defaultQueuePerSlot     = 0.5
	defaultLedgerJobs       = 100_000
	defaultLedgerResultMB   = 64
	defaultLedgerRetentionS = 900
	defaultHeartbeatMS      = 500
	defaultLeaseMS          = 1000
	// heartbeatsMissed is how many announcements may fail to come before the
	// endpoint counts as lost.
	heartbeatsMissed = 4
)

// Level is a log level as written in a settings file. The zero value is info.
type Level string

// Zap returns the level for the logging library.
func (l Level) Zap() zapcore.Level {
	if l == "" {
		return zapcore.InfoLevel
	}
	level, err := zapcore.ParseLevel(string(l))
	if err != nil {
		return zapcore.InfoLevel
	}
	return level
}

// Entry holds the settings of an entry. Load fills the optional ones.
type Entry struct {
	ID               string `json:"id"`
	Region           string `json:"region"`
	Zone             string `json:"zone"`
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
	PeerAddress      string `json:"peer_address"`
	TableAddress     string `json:"table_address"`
	AnswerRetentionS int    `json:"answer_retention_s"`
	MaxOpenJobs      int    `json:"max_open_jobs"`
	MaxQueuedTasks   int    `json:"max_queued_tasks"`
	// Seeds are peer addresses of entries, which may be stale.
	Seeds        []string `json:"seeds"`
	StopTimeoutS int      `json:"stop_timeout_s"`
	LogLevel     Level    `json:"log_level"`
	// Adapter is set where the entry runs on the users' platform.
	Adapter *EntryAdapter `json:"adapter"`
}

// EntryAdapter holds what an entry needs on the users' platform, where
// callers, the balancer and operators speak the platform's protocols.
type EntryAdapter struct {
	// ReadyAddress is where the balancer asks whether the entry takes
	// connections.
	ReadyAddress string `json:"ready_address"`
	// AcceptMS is how long an entry that stops goes on taking jobs, until the
	// balancer has noticed.
	AcceptMS int `json:"accept_ms"`
	// MemoryMB is the memory that the process may use.
	MemoryMB int `json:"memory_mb"`
}

// Accept returns how long an entry that stops goes on taking jobs.
func (a EntryAdapter) Accept() time.Duration { return time.Duration(a.AcceptMS) * time.Millisecond }

// AnswerRetention returns how long the answer of a finished job is kept.
func (e Entry) AnswerRetention() time.Duration { return seconds(e.AnswerRetentionS) }

// StopTimeout returns how long a planned stop waits for work in flight.
func (e Entry) StopTimeout() time.Duration { return seconds(e.StopTimeoutS) }

// WithDefaults returns the settings with every optional one filled.
func (e Entry) WithDefaults() Entry {
	setInt(&e.AnswerRetentionS, defaultAnswerRetentionS)
	setInt(&e.MaxOpenJobs, defaultMaxOpenJobs)
	setInt(&e.MaxQueuedTasks, defaultMaxQueuedTasks)
	setInt(&e.StopTimeoutS, defaultStopTimeoutS)
	return e
}

// Agent holds the settings of an agent. Load fills the optional ones.
type Agent struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	LinkAddress string `json:"link_address"`
	// AdvertiseAddress is where entries reach the link address, if they see
	// the host under another address.
	AdvertiseAddress string   `json:"advertise_address"`
	EndpointAddress  string   `json:"endpoint_address"`
	Entries          []string `json:"entries"`
	// Endpoints lists the addresses that may announce themselves; none means
	// that any may.
	Endpoints        []string `json:"endpoints"`
	QueuePerSlot     *float64 `json:"queue_per_slot"`
	LedgerJobs       int      `json:"ledger_jobs"`
	LedgerResultMB   int      `json:"ledger_result_mb"`
	LedgerRetentionS int      `json:"ledger_retention_s"`
	StopTimeoutS     int      `json:"stop_timeout_s"`
	LogLevel         Level    `json:"log_level"`
	// HeartbeatMS is how often the endpoint repeats its announcement.
	HeartbeatMS int `json:"heartbeat_ms"`
	// LeaseMS bounds the lease of what the endpoint runs, for one that is given
	// orders; ResubmitMS is how soon after a broken connection a caller may
	// submit a repeatable job again.
	LeaseMS    int `json:"lease_ms"`
	ResubmitMS int `json:"resubmit_ms"`
	// Adapter is set where the agent runs on the users' platform.
	Adapter *AgentAdapter `json:"adapter"`
}

// AgentAdapter holds what an agent needs on the users' platform.
type AgentAdapter struct {
	// TableAddress is that of the platform's store.
	TableAddress string `json:"table_address"`
	// MetricsAddress is where the counters are served.
	MetricsAddress string `json:"metrics_address"`
}

// The parts of the time until a caller may submit again: an entry that is
// silent for the first has its tasks stopped, and an agent that is silent has
// its lease lapse within the second. What is left is for the stop itself.
const (
	silencePart = 0.33
	leasePart   = 0.48
)

// EntrySilence returns how long an entry may stay silent before its repeatable
// tasks are stopped, or 0.
func (a Agent) EntrySilence() time.Duration {
	return time.Duration(silencePart * float64(a.ResubmitMS) * float64(time.Millisecond))
}

// Lease returns how far ahead the endpoint's lease is renewed.
func (a Agent) Lease() time.Duration {
	lease := time.Duration(leasePart * float64(a.ResubmitMS) * float64(time.Millisecond))
	return min(lease, time.Duration(a.LeaseMS)*time.Millisecond)
}

// RunsOver returns how long after its last message to an entry the agent may
// still run that entry's repeatable tasks, or 0.
func (a Agent) RunsOver() time.Duration {
	return time.Duration(a.ResubmitMS) * time.Millisecond
}

// EndpointTimeout returns how long an announcement holds.
func (a Agent) EndpointTimeout() time.Duration {
	return heartbeatsMissed * time.Duration(a.HeartbeatMS) * time.Millisecond
}

// LedgerRetention returns how long the record of a job is kept after its last
// use.
func (a Agent) LedgerRetention() time.Duration { return seconds(a.LedgerRetentionS) }

// StopTimeout returns how long a planned stop waits for work in flight.
func (a Agent) StopTimeout() time.Duration { return seconds(a.StopTimeoutS) }

// WithDefaults returns the settings with every optional one filled.
func (a Agent) WithDefaults() Agent {
	if a.QueuePerSlot == nil {
		perSlot := defaultQueuePerSlot
		a.QueuePerSlot = &perSlot
	}
	setInt(&a.LedgerJobs, defaultLedgerJobs)
	setInt(&a.LedgerResultMB, defaultLedgerResultMB)
	setInt(&a.LedgerRetentionS, defaultLedgerRetentionS)
	setInt(&a.StopTimeoutS, defaultStopTimeoutS)
	setInt(&a.HeartbeatMS, defaultHeartbeatMS)
	setInt(&a.LeaseMS, defaultLeaseMS)
	return a
}

// LoadEntry reads and checks the settings file of an entry. Faults come as a
// *jsonfile.Error with all findings.
func LoadEntry(file string) (Entry, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseEntry(file, text)
}

// ParseEntry checks the text of an entry's settings.
func ParseEntry(file string, text []byte) (Entry, error) {
	var e Entry
	src := jsonfile.Parse(file, text, entrySchema)
	src.Decode(&e)
	checkDistinct(src,
		value{"/caller_address", e.CallerAddress},
		value{"/operator_address", e.OperatorAddress},
		value{"/peer_address", e.PeerAddress},
		value{"/table_address", e.TableAddress})
	return e.WithDefaults(), src.Err()
}

// LoadAgent reads and checks the settings file of an agent. Faults come as a
// *jsonfile.Error with all findings.
func LoadAgent(file string) (Agent, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Agent{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseAgent(file, text)
}

// ParseAgent checks the text of an agent's settings.
func ParseAgent(file string, text []byte) (Agent, error) {
	var a Agent
	src := jsonfile.Parse(file, text, agentSchema)
	src.Decode(&a)
	checkDistinct(src,
		value{"/link_address", a.LinkAddress},
		value{"/endpoint_address", a.EndpointAddress})
	checkDistinct(src, values("/entries", a.Entries)...)
	checkDistinct(src, values("/endpoints", a.Endpoints)...)
	return a.WithDefaults(), src.Err()
}

// value is a setting's value and its JSON pointer.
type value struct {
	pointer string
	text    string
}

func values(pointer string, texts []string) []value {
	var all []value
	for i, text := range texts {
		all = append(all, value{fmt.Sprintf("%s/%d", pointer, i), text})
	}
	return all
}

// checkDistinct reports each value that an earlier one repeats.
func checkDistinct(src *jsonfile.Source, all ...value) {
	for i, v := range all {
		for _, earlier := range all[:i] {
			if v.text != "" && v.text == earlier.text {
				src.Add(v.pointer, fmt.Sprintf("%s is given at %s already", v.text, earlier.pointer))
				break
			}
		}
	}
}

func setInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

// RoleOf tells from its keys whether a settings file is for an agent or an
// entry. It returns "entry" for a file that shows neither.
func RoleOf(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return "entry"
	}
	var keys struct {
		LinkAddress     json.RawMessage `json:"link_address"`
		EndpointAddress json.RawMessage `json:"endpoint_address"`
	}
	// A file that is no JSON is reported by the check that follows.
	_ = json.Unmarshal(text, &keys)
	if keys.LinkAddress != nil || keys.EndpointAddress != nil {
		return "agent"
	}
	return "entry"
}

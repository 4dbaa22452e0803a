// Package process defines the settings of the system's processes: their JSON
// files, defaults and validation.
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
	entrySchema = jsonfile.NewSchema("entry.schema.json", func() []byte { return entrySchemaText })
	agentSchema = jsonfile.NewSchema("agent.schema.json", func() []byte { return agentSchemaText })
)

// Defaults of the optional settings.
const (
	defaultAnswerRetentionS = 120
	defaultMaxOpenJobs      = 20_000
	defaultMaxQueuedTasks   = 200_000
	defaultStopTimeoutS     = 30
	defaultMaxJobTasks      = 10_000
	defaultQueuePerSlot     = 0.5
	defaultLedgerJobs       = 100_000
	defaultLedgerResultMB   = 64
	defaultLedgerRetentionS = 900
	defaultHeartbeatMS      = 500
	defaultLeaseMS          = 1000
	// maxMissedHeartbeats is how many heartbeat intervals may pass without an
	// announcement before the agent treats its endpoint as lost.
	maxMissedHeartbeats = 4
)

// Level is a log level as written in a settings file. The zero value is info.
type Level string

// Zap returns the level as a zap level, info if it is not valid.
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

// Entry holds the settings of an entry. LoadEntry sets the defaults of the
// optional ones.
type Entry struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// CallerAddress, OperatorAddress and PeerAddress are listen addresses.
	// TableAddress is the address of the table service.
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
	PeerAddress      string `json:"peer_address"`
	TableAddress     string `json:"table_address"`
	AnswerRetentionS int    `json:"answer_retention_s"`
	MaxOpenJobs      int    `json:"max_open_jobs"`
	MaxQueuedTasks   int    `json:"max_queued_tasks"`
	// Seeds are peer addresses at which other entries may be found while the
	// table service is unavailable. Some of them may be out of date.
	Seeds        []string `json:"seeds"`
	StopTimeoutS int      `json:"stop_timeout_s"`
	LogLevel     Level    `json:"log_level"`
	// RequestMemoryMB and MaxConnections bound the memory that connections and
	// requests which are being read take, with the overhead of the garbage collector,
	// and the connections of callers; 0 means a bound by the memory and the file
	// descriptors of the process. MaxJobTasks bounds the
	// steps and the tasks of a job.
	RequestMemoryMB int `json:"request_memory_mb"`
	MaxConnections  int `json:"max_connections"`
	MaxJobTasks     int `json:"max_job_tasks"`
	// Adapter is set if the entry runs on the users' platform.
	Adapter *EntryAdapter `json:"adapter"`
}

// EntryAdapter holds the settings of an entry on the users' platform, where
// callers, the load balancer and operators use the platform's protocols.
type EntryAdapter struct {
	// ReadyAddress is the listen address for the load balancer's readiness
	// checks.
	ReadyAddress string `json:"ready_address"`
	// AcceptMS is how long an entry continues to accept jobs after it has begun
	// to stop, so that the load balancer has time to remove it.
	AcceptMS int `json:"accept_ms"`
	// MemoryMB is the memory that the platform allows the process. The garbage
	// collector works harder as the process approaches it.
	MemoryMB int `json:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the platform allows the
	// process.
	MaxDescriptors int `json:"max_descriptors"`
}

// AcceptPeriod returns how long an entry continues to accept jobs after it has
// begun to stop.
func (a EntryAdapter) AcceptPeriod() time.Duration {
	return time.Duration(a.AcceptMS) * time.Millisecond
}

// AnswerRetention returns how long the answer of a finished job is kept.
func (e Entry) AnswerRetention() time.Duration { return seconds(e.AnswerRetentionS) }

// StopTimeout returns how long a planned stop waits for open jobs.
func (e Entry) StopTimeout() time.Duration { return seconds(e.StopTimeoutS) }

// WithDefaults returns the settings with defaults in place of the optional ones
// that are zero.
func (e Entry) WithDefaults() Entry {
	setDefaultInt(&e.AnswerRetentionS, defaultAnswerRetentionS)
	setDefaultInt(&e.MaxOpenJobs, defaultMaxOpenJobs)
	setDefaultInt(&e.MaxQueuedTasks, e.resources().queuedTasks())
	setDefaultInt(&e.MaxJobTasks, defaultMaxJobTasks)
	setDefaultInt(&e.StopTimeoutS, defaultStopTimeoutS)
	return e
}

// Agent holds the settings of an agent. LoadAgent sets the defaults of the
// optional ones.
type Agent struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// LinkAddress is the listen address for entries, EndpointAddress that for the
	// endpoint.
	LinkAddress string `json:"link_address"`
	// AdvertiseAddress is the address at which entries reach the link listener,
	// if it differs from LinkAddress.
	AdvertiseAddress string `json:"advertise_address"`
	EndpointAddress  string `json:"endpoint_address"`
	// Entries are the peer addresses of entries to which the agent announces
	// itself.
	Entries []string `json:"entries"`
	// Endpoints lists the endpoint addresses whose announcements are accepted. An
	// empty list accepts any.
	Endpoints []string `json:"endpoints"`
	// QueuePerSlot is the length of the agent's queue for each slot of the
	// endpoint; nil stands for the default.
	QueuePerSlot *float64 `json:"queue_per_slot"`
	// LedgerJobs, LedgerResultMB and LedgerRetentionS limit the ledger, in which
	// the agent records the tasks that it was sent and their results.
	LedgerJobs       int   `json:"ledger_jobs"`
	LedgerResultMB   int   `json:"ledger_result_mb"`
	LedgerRetentionS int   `json:"ledger_retention_s"`
	StopTimeoutS     int   `json:"stop_timeout_s"`
	LogLevel         Level `json:"log_level"`
	// HeartbeatMS is the interval at which the endpoint repeats its announcement.
	HeartbeatMS int `json:"heartbeat_ms"`
	// LeaseMS is the upper bound of the lease on an endpoint's runs; only
	// endpoints on the users' platform run tasks under a lease. ResubmitMS is
	// the delay after a broken connection from which a caller may submit a
	// repeatable job again.
	LeaseMS    int `json:"lease_ms"`
	ResubmitMS int `json:"resubmit_ms"`
	// RequestMemoryMB and MaxConnections bound the memory of connections, and the
	// connections of entries; 0 means a bound by the memory and the file descriptors
	// of the process.
	RequestMemoryMB int `json:"request_memory_mb"`
	MaxConnections  int `json:"max_connections"`
	// Adapter is set if the agent runs on the users' platform.
	Adapter *AgentAdapter `json:"adapter"`
}

// AgentAdapter holds the settings of an agent on the users' platform.
type AgentAdapter struct {
	// TableAddress is the address of the platform's store.
	TableAddress string `json:"table_address"`
	// MetricsAddress is the listen address at which the counters are served.
	MetricsAddress string `json:"metrics_address"`
	// MemoryMB and MaxDescriptors are the memory and the number of file descriptors
	// that the platform allows the process.
	MemoryMB       int `json:"memory_mb"`
	MaxDescriptors int `json:"max_descriptors"`
}

// Shares of ResubmitMS. By the time a caller may submit a repeatable job again,
// the runs of the first submission must have ended. An agent stops the tasks of
// an entry that has been silent for entryTimeoutShare of that time. If the agent
// itself is silent, its endpoint's lease expires within leaseShare of that time.
// A run that was not stopped ends with its lease within runEndShare of the time. The
// remainder is the time for which a caller's break can go unnoticed.
const (
	entryTimeoutShare = 0.33
	leaseShare        = 0.48
	runEndShare       = 0.93
)

// EntrySilenceTimeout returns how long an entry may be silent before the agent
// stops the entry's repeatable tasks. With 0 the agent never stops them.
func (a Agent) EntrySilenceTimeout() time.Duration {
	return time.Duration(entryTimeoutShare * float64(a.ResubmitMS) * float64(time.Millisecond))
}

// Lease returns the duration for which the endpoint's lease is granted at each
// renewal.
func (a Agent) Lease() time.Duration {
	lease := time.Duration(leaseShare * float64(a.ResubmitMS) * float64(time.Millisecond))
	return min(lease, a.MaxLease())
}

// MaxLease returns the longest lease that the endpoint grants.
func (a Agent) MaxLease() time.Duration { return time.Duration(a.LeaseMS) * time.Millisecond }

// RunEndTimeout returns how long after the latest contact with an entry the agent
// extends the endpoint's lease at most while a repeatable task of the entry runs.
func (a Agent) RunEndTimeout() time.Duration {
	return time.Duration(runEndShare * float64(a.ResubmitMS) * float64(time.Millisecond))
}

// OrphanRunLimit returns how long after its last message to an entry the agent
// may still run that entry's repeatable tasks. With 0 there is no limit.
func (a Agent) OrphanRunLimit() time.Duration {
	return time.Duration(a.ResubmitMS) * time.Millisecond
}

// EndpointTimeout returns how long after its last announcement an endpoint
// counts as present.
func (a Agent) EndpointTimeout() time.Duration {
	return maxMissedHeartbeats * time.Duration(a.HeartbeatMS) * time.Millisecond
}

// LedgerRetention returns how long the record of a job is kept after its last
// use.
func (a Agent) LedgerRetention() time.Duration { return seconds(a.LedgerRetentionS) }

// StopTimeout returns how long a planned stop waits for running tasks.
func (a Agent) StopTimeout() time.Duration { return seconds(a.StopTimeoutS) }

// WithDefaults returns the settings with defaults in place of the optional ones
// that are unset.
func (a Agent) WithDefaults() Agent {
	if a.QueuePerSlot == nil {
		perSlot := defaultQueuePerSlot
		a.QueuePerSlot = &perSlot
	}
	setDefaultInt(&a.LedgerJobs, defaultLedgerJobs)
	setDefaultInt(&a.LedgerResultMB, defaultLedgerResultMB)
	setDefaultInt(&a.LedgerRetentionS, defaultLedgerRetentionS)
	setDefaultInt(&a.StopTimeoutS, defaultStopTimeoutS)
	setDefaultInt(&a.HeartbeatMS, defaultHeartbeatMS)
	setDefaultInt(&a.LeaseMS, defaultLeaseMS)
	return a
}

// LoadEntry reads and validates the settings file of an entry. If the contents
// are invalid, the error is a *jsonfile.Error that holds every finding.
func LoadEntry(file string) (Entry, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseEntry(file, text)
}

// ParseEntry decodes and validates the text of an entry's settings. The file
// name is used in findings only.
func ParseEntry(file string, text []byte) (Entry, error) {
	var e Entry
	src := jsonfile.Parse(file, text, entrySchema)
	src.Decode(&e)
	checkDistinct(src,
		settingValue{"/caller_address", e.CallerAddress},
		settingValue{"/operator_address", e.OperatorAddress},
		settingValue{"/peer_address", e.PeerAddress},
		settingValue{"/table_address", e.TableAddress})
	return e.WithDefaults(), src.Err()
}

// LoadAgent reads and validates the settings file of an agent. If the contents
// are invalid, the error is a *jsonfile.Error that holds every finding.
func LoadAgent(file string) (Agent, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Agent{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseAgent(file, text)
}

// ParseAgent decodes and validates the text of an agent's settings. The file
// name is used in findings only.
func ParseAgent(file string, text []byte) (Agent, error) {
	var a Agent
	src := jsonfile.Parse(file, text, agentSchema)
	src.Decode(&a)
	checkDistinct(src,
		settingValue{"/link_address", a.LinkAddress},
		settingValue{"/endpoint_address", a.EndpointAddress})
	checkDistinct(src, listValues("/entries", a.Entries)...)
	checkDistinct(src, listValues("/endpoints", a.Endpoints)...)
	return a.WithDefaults(), src.Err()
}

// settingValue holds the value of a setting and the JSON pointer to it.
type settingValue struct {
	pointer string
	text    string
}

func listValues(pointer string, texts []string) []settingValue {
	var all []settingValue
	for i, text := range texts {
		all = append(all, settingValue{fmt.Sprintf("%s/%d", pointer, i), text})
	}
	return all
}

// checkDistinct adds a finding for each non-empty value that equals an earlier
// one.
func checkDistinct(src *jsonfile.Source, all ...settingValue) {
	for i, v := range all {
		for _, earlier := range all[:i] {
			if v.text != "" && v.text == earlier.text {
				src.AddFinding(v.pointer, fmt.Sprintf("%s is given at %s already", v.text, earlier.pointer))
				break
			}
		}
	}
}

func setDefaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

// DetectRole returns "agent" for a settings file with a key that only an agent's
// settings have, and "entry" for any other file, including one that can't be
// read.
func DetectRole(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return "entry"
	}
	var keys struct {
		LinkAddress     json.RawMessage `json:"link_address"`
		EndpointAddress json.RawMessage `json:"endpoint_address"`
	}
	// Invalid JSON is reported when the file is loaded.
	_ = json.Unmarshal(text, &keys)
	if keys.LinkAddress != nil || keys.EndpointAddress != nil {
		return "agent"
	}
	return "entry"
}

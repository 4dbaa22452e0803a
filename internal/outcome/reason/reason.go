// Package reason enumerates the reasons for which jobs and tasks are refused,
// fail or are retried.
//
// Entries, agents and callers share the enumeration. Its numbers are sent in
// messages between processes, so new values are added at the end.
package reason

//go:generate stringer -type=Reason -linecomment

// Reason is why a job or task was refused, failed or was retried. The zero value
// means that no reason was given.
type Reason uint32

// The reasons. The trailing comment of each is the text that String returns,
// which callers, logs and counters show.
const (
	Unspecified Reason = iota // unspecified
	// BadInput means that the request is not valid.
	BadInput // bad_input
	// DeadlinePassed means that the job's deadline has passed.
	DeadlinePassed // deadline_passed
	// DigestMismatch means that a submission has the id of an earlier job and
	// other contents.
	DigestMismatch // digest_mismatch
	// NoEndpoint means that the entry has no endpoint of the service on record.
	NoEndpoint // no_endpoint
	// NeverRunnable means that no endpoint of the service meets the
	// requirements of a task.
	NeverRunnable // never_runnable
	// TableUnavailable means that the table service does not respond.
	TableUnavailable // table_unavailable
	// ViewUnconfirmed means that the configuration could not be confirmed as
	// current in time.
	ViewUnconfirmed // view_unconfirmed
	// TeamQuota means that the team has too many queued tasks.
	TeamQuota // team_quota
	// Overloaded means that too much work is queued to accept the job or to
	// meet its deadline.
	Overloaded // overloaded
	// Stopping means that the process is stopping.
	Stopping // stopping
	// Cancelled means that the caller cancelled the job or disconnected.
	Cancelled // cancelled
	// EndpointFailed means that the endpoint failed the task after its start.
	EndpointFailed // endpoint_failed
	// EndpointRefused means that the endpoint refused to start the task.
	EndpointRefused // endpoint_refused
	// EndpointGone means that the endpoint is not present, or left during the
	// run.
	EndpointGone // endpoint_gone
	// AgentLost means that the agent is unreachable.
	AgentLost // agent_lost
	// AgentBusy means that the agent has no room for another task.
	AgentBusy // agent_busy
	// AgentClosed means that the agent's endpoint or zone is out of service.
	AgentClosed // agent_closed
	// StaleIncarnation means that the start was addressed to an earlier
	// incarnation of the agent.
	StaleIncarnation // stale_incarnation
	// StaleGeneration means that the start was sent under a claim that was
	// superseded by a later one.
	StaleGeneration // stale_generation
	// LedgerForgotten means that the agent dropped records by which it would
	// recognize a repeated start.
	LedgerForgotten // ledger_forgotten
	// OwnerUnknown means that the entry that owns the job is lost, and another
	// one takes the job over.
	OwnerUnknown // owner_unknown
	// RecoveryIncomplete means that after a takeover it is unknown whether a
	// task was started.
	RecoveryIncomplete // recovery_incomplete
	// NotFound means that there is no record of the job.
	NotFound // not_found
	// RetryBudgetSpent means that the retry budget of the service is
	// exhausted.
	RetryBudgetSpent // retry_budget_spent
	// LinkSilent means that the link received no message for too long.
	LinkSilent // link_silent
	// LinkBroken means that the link was disconnected.
	LinkBroken // link_broken
	// TableConflict means that a commit failed because of a condition on
	// another row.
	TableConflict // table_conflict
	// TableAnswerLost means that a commit got no response, so that its outcome
	// is unknown.
	TableAnswerLost // table_answer_lost
	// Superseded means that another entry has claimed the job.
	Superseded // superseded
	// EndpointSilent means that the endpoint did not acknowledge a start.
	EndpointSilent // endpoint_silent
	// LeaseLapsed means that the endpoint's lease expired during the run.
	LeaseLapsed // lease_lapsed
	// NoProgress means that the run made no progress and was stopped.
	NoProgress // no_progress
	// EntrySilent means that the entry that sent the task has been silent for
	// too long.
	EntrySilent // entry_silent
	// NotSupported means that the job uses a feature that is not supported.
	NotSupported // not_supported
	// NotConfigured means that the entry has not loaded its configuration yet.
	NotConfigured // not_configured
	// TooLate means that the job was queued until it could no longer end in
	// time.
	TooLate // too_late
	// AgentReplaced means that another incarnation of the agent has taken its
	// place.
	AgentReplaced // agent_replaced
	// EndpointCrashed means that the endpoint crashed during the run: its process
	// ended without leaving, or was restarted.
	EndpointCrashed // endpoint_crashed
	// EndpointReplaced means that the start was addressed to an earlier
	// incarnation of the endpoint.
	EndpointReplaced // endpoint_replaced
	// Displaced means that a more urgent job took the room in which a waiting one
	// could have ended in time.
	Displaced // displaced
	// SubmissionStale means that the submission lay unread for so long that its caller
	// may have left and submitted the job again.
	SubmissionStale // submission_stale
	// numReasons is the number of reasons, including Unspecified.
	numReasons // invalid
)

// All returns every reason that has a counter, in order.
func All() []Reason {
	all := make([]Reason, 0, numReasons-1)
	for r := Unspecified + 1; r < numReasons; r++ {
		all = append(all, r)
	}
	return all
}

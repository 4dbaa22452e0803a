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
	Unspecified        Reason = iota // unspecified
	BadInput                         // bad_input
	DeadlinePassed                   // deadline_passed
	DigestMismatch                   // digest_mismatch
	NoEndpoint                       // no_endpoint
	NeverRunnable                    // never_runnable
	TableUnavailable                 // table_unavailable
	ViewUnconfirmed                  // view_unconfirmed
	TeamQuota                        // team_quota
	Overloaded                       // overloaded
	Stopping                         // stopping
	Cancelled                        // cancelled
	EndpointFailed                   // endpoint_failed
	EndpointRefused                  // endpoint_refused
	EndpointGone                     // endpoint_gone
	AgentLost                        // agent_lost
	AgentBusy                        // agent_busy
	AgentClosed                      // agent_closed
	StaleIncarnation                 // stale_incarnation
	StaleGeneration                  // stale_generation
	LedgerForgotten                  // ledger_forgotten
	OwnerUnknown                     // owner_unknown
	RecoveryIncomplete               // recovery_incomplete
	NotFound                         // not_found
	RetryBudgetSpent                 // retry_budget_spent
	LinkSilent                       // link_silent
	LinkBroken                       // link_broken
	TableConflict                    // table_conflict
	TableAnswerLost                  // table_answer_lost
	Superseded                       // superseded
	EndpointSilent                   // endpoint_silent
	LeaseLapsed                      // lease_lapsed
	NoProgress                       // no_progress
	EntrySilent                      // entry_silent
	NotSupported                     // not_supported
	NotConfigured                    // not_configured
	TooLate                          // too_late
	numReasons                       // invalid
)

// All returns every reason that has a counter, in order.
func All() []Reason {
	all := make([]Reason, 0, numReasons-1)
	for r := Unspecified + 1; r < numReasons; r++ {
		all = append(all, r)
	}
	return all
}

// Package rule names the safety rules of the start protocol, so that an experiment can leave one out and
// show that the randomised run notices. Production code never leaves one out: the zero Set has all in force.
package rule

// Rule is one safety rule.
type Rule string

// The rules that an experiment can leave out.
const (
	// SealGeneration: an agent refuses messages of a generation older than the newest it has seen.
	SealGeneration Rule = "seal_generation"
	// SilentAgents: an adopter decides nothing until every agent of the roster has sealed.
	SilentAgents Rule = "silent_agents"
	// NewestResults: an agent sends a job's results to the newest generation only, and tells the holder
	// of the older one that it has lost the job.
	NewestResults Rule = "newest_results"
	// RosterIncarnations: only the agent incarnations of its roster start tasks of a job.
	RosterIncarnations Rule = "roster_incarnations"
	// RecordedDecision: a failure is recorded at an agent before a caller hears of it.
	RecordedDecision Rule = "recorded_decision"
	// NewestLink: an agent drops what still arrives on an older link of the same entry.
	NewestLink Rule = "newest_link"
	// AskNeverStarts: after a link was replaced an entry asks about what it sent, and never sends it again.
	AskNeverStarts Rule = "ask_never_starts"
	// AttemptEcho: a result counts only for the placement whose number it repeats.
	AttemptEcho Rule = "attempt_echo"
	// OwnerGeneration: a successor acts under the leaving owner's generation, never a higher one.
	OwnerGeneration Rule = "owner_generation"
	// ForgottenWatermark: a successor takes no id as unused that the leaving owner may have forgotten.
	ForgottenWatermark Rule = "forgotten_watermark"
)

// All lists the rules.
var All = []Rule{
	SealGeneration, SilentAgents, NewestResults, RosterIncarnations, RecordedDecision, NewestLink,
	AskNeverStarts, AttemptEcho,
	OwnerGeneration, ForgottenWatermark,
}

// Set is the set of rules left out.
type Set map[Rule]bool

// Without returns a Set with one rule left out.
func Without(r Rule) Set { return Set{r: true} }

// Holds tells whether a rule is in force.
func (s Set) Holds(r Rule) bool { return !s[r] }

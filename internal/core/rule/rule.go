// Package rule names the safety rules by which no task runs twice at a time, so that an experiment can leave one
// out and show that the randomised run notices. Production code never leaves one out: the zero Set has all in
// force.
package rule

// Rule is one safety rule.
type Rule string

// The rules that an experiment can leave out.
const (
	// SettleWait: an entry places the tasks of a lost agent again only once nothing of theirs can run any more.
	SettleWait Rule = "settle_wait"
	// StopsFirst: a job that is sent again while its old runs are being stopped begins only when they have ended.
	StopsFirst Rule = "stops_first"
	// RunIDs: a run has an id that no other run of its entry has, and messages about it carry that.
	RunIDs Rule = "run_ids"
	// EchoedClock: an agent counts an entry's silence from when the agent sent what the entry has echoed.
	EchoedClock Rule = "echoed_clock"
	// FreshSession: an agent takes no order of an entry that it has not heard within the silence.
	FreshSession Rule = "fresh_session"
	// CountSuspensions: what expires goes by a clock that counts the time for which the VM was suspended.
	CountSuspensions Rule = "count_suspensions"
	// StopSilent: an agent stops the runs of an entry that is silent or whose session has ended.
	StopSilent Rule = "stop_silent"
	// FenceUnsure: a start without an answer is unknown until the upstream, under a higher token, has said.
	FenceUnsure Rule = "fence_unsure"
	// SameTaskWaits: an order for a task that still runs at the upstream waits for the end of that run.
	SameTaskWaits Rule = "same_task_waits"
	// LapseBudget: when a lost entry's run can't be stopped in time, the agent lets all leases lapse.
	LapseBudget Rule = "lapse_budget"
	// LookFirst: an agent takes no work before it knows what runs at its upstream.
	LookFirst Rule = "look_first"
	// ConfirmLife: an agent that knows a life of its upstream takes up another only once the upstream answers for it.
	ConfirmLife Rule = "confirm_life"
	// LifeBorn: an upstream that starts again under its id is another life, and the account of the former does not go on.
	LifeBorn Rule = "life_born"
	// CallersLost: an entry that has heard nothing for as long as agents keep its runs gives up the jobs that it held, whose callers may have
	// gone elsewhere unheard.
	CallersLost Rule = "callers_lost"
	// HearEnds: soon after such a time a request is taken only if the end of its connection does not follow, and a process that stood still
	// listens before it places anything.
	HearEnds Rule = "hear_ends"
	// ReleaseFirst: an entry that is sent a job which another is known to hold begins it only once that one has given it up.
	ReleaseFirst Rule = "release_first"
	// CordonGate: an agent starts nothing while its zone is cordoned, whoever orders it.
	CordonGate Rule = "cordon_gate"
	// CordonKnown: an agent that starts takes no work before it has heard which zones are cordoned.
	CordonKnown Rule = "cordon_known"
	// CordonOrder: of two accounts of the cordons the one with the higher version of the store is believed.
	CordonOrder Rule = "cordon_order"
	// CountStopping: a run that is being stopped, or may have started, takes room.
	CountStopping Rule = "count_stopping"
	// RoomHeard: an agent that starts takes no work before a heartbeat has told it the room: it may have shrunk while nobody heard.
	RoomHeard Rule = "room_heard"
	// CrashAlone: only upstreams that are lost while a task is alone there prove that it crashes them.
	CrashAlone Rule = "crash_alone"
	// CrashTold: agents tell all entries of the tasks that upstreams were lost under, and those each other.
	CrashTold Rule = "crash_told"
	// CrashStored: a kept job's suspected task starts again only once the crash under it is stored.
	CrashStored Rule = "crash_stored"
	// WithholdEnds: an upstream may forget the end of a kept job's run only once it is stored.
	WithholdEnds Rule = "withhold_ends"
	// AckAfterLapse: an agent that starts lets its upstream forget ends only once the lease before has lapsed.
	AckAfterLapse Rule = "ack_after_lapse"
	// OwnerLease: an entry acts for kept jobs only while its lease lives.
	OwnerLease Rule = "owner_lease"
	// AskFirst: an entry that takes a kept job over asks all agents for its ends before it starts anything.
	AskFirst Rule = "ask_first"
	// StoreFirst: a kept job is accepted only once it is stored, and shown as ended only once its end is.
	StoreFirst Rule = "store_first"
)

// All lists the rules.
var All = []Rule{
	SettleWait, StopsFirst, RunIDs, EchoedClock, FreshSession, CountSuspensions, StopSilent, FenceUnsure, SameTaskWaits, LapseBudget, LookFirst,
	ConfirmLife, LifeBorn, CallersLost, HearEnds, ReleaseFirst, CordonGate, CordonKnown, CordonOrder, CountStopping, RoomHeard, CrashAlone, CrashTold, CrashStored, WithholdEnds, AckAfterLapse, OwnerLease, AskFirst, StoreFirst,
}

// Set is a set of rules that are left out.
type Set map[Rule]bool

// Without returns a Set that leaves out the rules named.
func Without(rules ...Rule) Set {
	s := make(Set, len(rules))
	for _, r := range rules {
		s[r] = true
	}
	return s
}

// Off tells whether a rule is left out.
func (s Set) Has(r Rule) bool { return s[r] }

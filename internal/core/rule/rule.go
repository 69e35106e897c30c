// Package rule names the safety rules that keep a task from running twice at the same time. An experiment can leave out a rule to show that
// the randomised tests notice its absence. Production code leaves out none: with the zero Set, all rules are in force.
package rule

// Rule is one safety rule.
type Rule string

// The rules that an experiment can leave out.
const (
	// SettleWait: an entry places the tasks of a lost agent again only once none of their runs can still be active.
	SettleWait Rule = "settle_wait"
	// StopsFirst: if a job is sent again while its old runs are being stopped, it begins only once they have ended.
	StopsFirst Rule = "stops_first"
	// RunIDs: each run has an ID that is unique among all runs of its entry, and messages about the run contain it.
	RunIDs Rule = "run_ids"
	// EchoedClock: an agent measures an entry's silence from the time at which the agent sent the clock reading that the entry echoed.
	EchoedClock Rule = "echoed_clock"
	// FreshSession: an agent accepts no order from an entry that it has not heard within fleet.Timing.Silence.
	FreshSession Rule = "fresh_session"
	// CountSuspensions: expiry uses a clock that includes the time during which the VM was suspended.
	CountSuspensions Rule = "count_suspensions"
	// StopSilent: an agent stops the runs of an entry that is silent or whose session has ended.
	StopSilent Rule = "stop_silent"
	// FenceUnsure: a start without an answer counts as unknown until the upstream has answered under a higher fencing token.
	FenceUnsure Rule = "fence_unsure"
	// SameTaskWaits: an order for a task that still runs on the upstream waits until that run has ended.
	SameTaskWaits Rule = "same_task_waits"
	// LapseBudget: if the run of a lost entry can't be stopped in time, the agent lets the lease of all runs lapse.
	LapseBudget Rule = "lapse_budget"
	// LookFirst: an agent accepts no work before it knows what runs on its upstream.
	LookFirst Rule = "look_first"
	// ConfirmLife: an agent that knows one life of its upstream accepts another life only once the upstream has confirmed it.
	ConfirmLife Rule = "confirm_life"
	// LifeBorn: an upstream that restarts under the same ID is another life, and the state of its former life does not carry over.
	LifeBorn Rule = "life_born"
	// CallersLost: an entry that has heard nothing for as long as agents keep its runs gives up the jobs that it held, because their
	// callers may have gone to another entry in the meantime.
	CallersLost Rule = "callers_lost"
	// HearEnds: soon after an entry has heard nothing for that long, it accepts a request only if the request's connection does not end right
	// after it. A process that was paused reads from its connections before it places any task.
	HearEnds Rule = "hear_ends"
	// ReleaseFirst: an entry that receives a job which another entry is known to hold begins it only once the other entry has released it.
	ReleaseFirst Rule = "release_first"
	// CordonGate: an agent starts nothing while its availability zone is cordoned, whichever entry orders it.
	CordonGate Rule = "cordon_gate"
	// CordonKnown: an agent that starts accepts no work before it knows which availability zones are cordoned.
	CordonKnown Rule = "cordon_known"
	// CordonOrder: of two lists of cordons, the one with the higher store version is used.
	CordonOrder Rule = "cordon_order"
	// CountStopping: a run that is being stopped, or that may have started, occupies room.
	CountStopping Rule = "count_stopping"
	// RoomHeard: an agent that starts accepts no work before a heartbeat has reported the upstream's capacity, which may have shrunk while no
	// agent received heartbeats.
	RoomHeard Rule = "room_heard"
	// CrashAlone: only upstreams that are lost while a task is alone on them prove that the task crashes upstreams.
	CrashAlone Rule = "crash_alone"
	// CrashTold: agents tell all entries about the tasks that ran on upstreams when these were lost, and entries tell each other.
	CrashTold Rule = "crash_told"
	// CrashStored: a suspected task of a kept job is started again only once its crash is stored.
	CrashStored Rule = "crash_stored"
	// SuspectsTold: agents tell entries how far the runs of suspected tasks have come, in case that they are lost with their upstreams.
	SuspectsTold Rule = "suspects_told"
	// SuspectsWitnessed: entries tell agents on other VMs how far the runs of suspected tasks have come, in case that they are lost with
	// their upstreams and agents.
	SuspectsWitnessed Rule = "suspects_witnessed"
	// CrashUnconfirmed: a task is started with the caution that its unconfirmed crashes ask for.
	CrashUnconfirmed Rule = "crash_unconfirmed"
	// UnconfirmedTold: entries tell each other about unconfirmed crashes.
	UnconfirmedTold Rule = "unconfirmed_told"
	// WithholdEnds: an upstream may forget the end of a kept job's run only once the end is stored.
	WithholdEnds Rule = "withhold_ends"
	// AckAfterLapse: an agent that starts acknowledges ends to its upstream only once the previous lease has lapsed.
	AckAfterLapse Rule = "ack_after_lapse"
	// OwnerLease: an entry acts for kept jobs only while it holds its lease on them.
	OwnerLease Rule = "owner_lease"
	// AskFirst: an entry that takes over a kept job asks all agents for the ends of its runs before it starts any task.
	AskFirst Rule = "ask_first"
	// StoreFirst: a kept job is accepted only once it is stored, and reported as ended only once its end is stored.
	StoreFirst Rule = "store_first"
)

// All lists all rules.
var All = []Rule{
	SettleWait, StopsFirst, RunIDs, EchoedClock, FreshSession, CountSuspensions, StopSilent, FenceUnsure, SameTaskWaits, LapseBudget, LookFirst,
	ConfirmLife, LifeBorn, CallersLost, HearEnds, ReleaseFirst, CordonGate, CordonKnown, CordonOrder, CountStopping, RoomHeard,
	CrashAlone, CrashTold, CrashStored, SuspectsTold, SuspectsWitnessed, CrashUnconfirmed, UnconfirmedTold, WithholdEnds, AckAfterLapse, OwnerLease, AskFirst, StoreFirst,
}

// Set is a set of rules that are left out.
type Set map[Rule]bool

// Without returns the Set of the given rules.
func Without(rules ...Rule) Set {
	s := make(Set, len(rules))
	for _, r := range rules {
		s[r] = true
	}
	return s
}

// Has reports whether the set contains r, which means that r is left out.
func (s Set) Has(r Rule) bool { return s[r] }

package placement

import "time"

// Remote is room for a task away from its data, while there is no room near it.
type Remote struct {
	// Waited is how long the task has declined such room, Expected how long it should take to find room near its data (NearWait).
	Waited, Expected time.Duration
	// Near is how long the task runs at an upstream near its data, Here at the one that has room.
	Near, Here time.Duration
	// Left is the time until the job's objective has passed, and MayWait the time until the job may be refused; a begun job has no such limit.
	Left    time.Duration
	MayWait time.Duration
	// Pause is the longest time until the room is offered again.
	Pause time.Duration
}

// Wait reports whether the task should decline the room and wait for room near its data (delay scheduling): while it should end sooner by
// that, and until it would end as late as if it had taken the first room that it declined. It does not wait past the moment from which its
// job is late or may be refused. For a job that is late away from the data already, Offer decides.
func (r *Remote) Wait() bool {
	endsSooner := max(r.Waited, r.Expected)+r.Near < r.Here
	return endsSooner && r.Here+r.Pause < r.Left && r.Pause < r.MayWait
}

// NearWait returns how long the last of some tasks of an entry should wait for room in a rack: the rack holds slots such tasks at a time,
// each for near, and its room goes to all entries in turn.
func NearWait(tasks, slots, entries int, near time.Duration) time.Duration {
	return time.Duration(tasks*entries) * near / time.Duration(max(1, slots))
}

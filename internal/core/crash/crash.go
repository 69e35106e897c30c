// Package crash decides whether a task crashes the upstreams that start it.
//
// An upstream that crashes takes with it all that runs there, and a task that is placed again beside the one that did it is lost with
// the next upstream too. So being there proves nothing. A task that was there is suspected, and from then on started alone; only
// upstreams that are lost while it is alone count against it. Other causes reach an upstream now and then at such a
// moment as well, so that it takes more than one upstream, lost at the same point of the task's run.
//
// Entries and agents each have an Account, and tell each other what is news: whoever gets a job that was sent again, or takes a
// kept one over, knows of the crashes under its tasks.
package crash

import (
	"maps"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
	"hillreel/internal/core/rule"
)

// Finding says what is known of a task.
type Finding string

// The findings.
const (
	// Unsuspected: the task may run beside others.
	Unsuspected Finding = "unsuspected"
	// Suspected: it may have crashed an upstream, and is started alone.
	Suspected Finding = "suspected"
	// Proven: it crashes the upstreams that start it, and is not started any more.
	Proven Finding = "proven"
)

const (
	// Prompt is how soon after its start most tasks that crash an upstream do so: they need little of their work for it. Each task that is
	// as young by chance at a loss is started alone for nothing, so that a longer time costs room on days when upstreams crash by themselves.
	Prompt = 40 * time.Millisecond
	// Seasoned is from which age on a run is not to blame for a prompt crash: Prompt, and 50 ms by which ages may be known too late.
	Seasoned = 100 * time.Millisecond
	// samePoint is how far apart in a task's run two crashes count as one point of it. While a task is alone its upstream is asked at each
	// tick, 20 ms apart; half as much again for slow answers.
	samePoint = 30 * time.Millisecond
	// proofs is how many upstreams must be lost at one point of a task's run while it is alone, on two VMs at least. With the crash before,
	// such a task is started three times. A cause that takes each upstream once in 30 s takes two of them by chance with
	// one task in 100,000.
	proofs = 2
	// moreProofs is how many it takes while more upstreams are lost to other causes: then the same holds for one that takes each of them every
	// five seconds.
	moreProofs = 3
	// togetherProofs is how many it takes then, beside other tasks or not, once the task was alone at two of them.
	togetherProofs = 4
	// ownProofs is how many must be lost where there is only one VM, all of them promptly: an upstream that goes down and up by turns
	// loses whatever is there.
	ownProofs = 4
	// otherLosses is how many upstreams are lost to other causes, for each there is, within lossesFor when it takes more proofs.
	otherLosses = 0.6
	lossesFor   = 20 * time.Second
	// lateCrashes is how many upstreams must be lost under a task, all of them later in its run than Prompt, for it to be suspected.
	lateCrashes = 2
)

const (
	// keepFor is how long crashes are remembered after the last one. A caller sends a job again after seconds; what must outlast all
	// processes is kept with the job.
	keepFor = 2 * time.Minute
	// maxTasks bounds the tasks that are remembered, in some 4 MB: those of 100 upstreams that crash at once.
	maxTasks = 4096
	// maxCrashes bounds the crashes that are remembered of one task.
	maxCrashes = 8
	// maxRefuted bounds the refutations that are remembered.
	maxRefuted = 256
)

// Account is what one process knows of crashes. One goroutine uses it.
type Account struct {
	without rule.Set
	tasks   map[job.TaskID]*record
	// order lists the tasks from the one on that was first crashed under, maxTasks at most.
	order []job.TaskID
	// losses are the lives that were lost lately, and upstreams how many there are.
	losses    map[ident.UpstreamLife]loss
	upstreams int
	// refuted are of lives that have answered after they were taken for lost, the oldest first.
	refuted []fleet.Refutation
}

// record is what is known of one task.
type record struct {
	// crashes are of different lives.
	crashes []fleet.Crash
	last    time.Time
}

// loss is the loss of one life.
type loss struct {
	at time.Time
	// alone: a task was alone there, which explains it.
	alone bool
}

// New returns an empty Account. without leaves out safety rules, for experiments only.
func New(without rule.Set) *Account {
	return &Account{without: without, tasks: make(map[job.TaskID]*record), losses: make(map[ident.UpstreamLife]loss)}
}

// Add takes in a crash, and tells whether it is news.
func (a *Account) Add(now time.Time, c fleet.Crash) bool {
	if slices.ContainsFunc(a.refuted, func(r fleet.Refutation) bool { return refutes(r, c) }) {
		return false
	}
	a.noteLoss(now, c)
	r := a.tasks[c.Task]
	if r == nil {
		a.drop(now)
		r = &record{}
		a.tasks[c.Task] = r
		a.order = append(a.order, c.Task)
	}
	known := slices.ContainsFunc(r.crashes, func(have fleet.Crash) bool { return sameLife(have.Life, c.Life) })
	if known || len(r.crashes) >= maxCrashes {
		return false
	}
	r.crashes, r.last = append(r.crashes, c), now
	return true
}

// AddAll takes in crashes, and returns those that are news.
func (a *Account) AddAll(now time.Time, all []fleet.Crash) []fleet.Crash {
	var news []fleet.Crash
	for _, c := range all {
		if a.Add(now, c) {
			news = append(news, c)
		}
	}
	return news
}

// sameLife tells whether two lives are, or may be, the same: an entry knows the lives of upstreams by their ids alone.
func sameLife(a, b ident.UpstreamLife) bool {
	return a == b || a.ID == b.ID && (a.Born == 0 || b.Born == 0)
}

// noteLoss notes which life a crash is of, and forgets losses that are long past.
func (a *Account) noteLoss(now time.Time, c fleet.Crash) {
	maps.DeleteFunc(a.losses, func(_ ident.UpstreamLife, l loss) bool { return now.Sub(l.at) > lossesFor })
	l, known := a.losses[c.Life]
	if !known {
		l.at = now
	}
	l.alone = l.alone || c.Alone
	a.losses[c.Life] = l
}

// SetUpstreams says how many upstreams there are.
func (a *Account) SetUpstreams(n int) { a.upstreams = n }

// needed is how many upstreams must be lost under a task to prove that it causes that.
func (a *Account) needed() int {
	others := 0
	for _, l := range a.losses {
		if !l.alone {
			others++
		}
	}
	if float64(others) > otherLosses*float64(a.upstreams) {
		return moreProofs
	}
	return proofs
}

// drop forgets tasks whose last crash is long past, and the oldest one if there are too many.
func (a *Account) drop(now time.Time) {
	for len(a.order) > 0 {
		oldest := a.order[0]
		r := a.tasks[oldest]
		if r != nil && len(a.order) < maxTasks && now.Sub(r.last) < keepFor {
			return
		}
		delete(a.tasks, oldest)
		a.order = slices.Delete(a.order, 0, 1)
	}
}

// refutes tells whether a crash is of a loss that was refuted.
func refutes(r fleet.Refutation, c fleet.Crash) bool { return r.Life == c.Life && c.Loss <= r.UpTo }

// Refute takes in that a life which was taken for lost has answered since, and tells whether that is news.
func (a *Account) Refute(n fleet.Refutation) bool {
	if slices.ContainsFunc(a.refuted, func(r fleet.Refutation) bool { return r.Life == n.Life && r.UpTo >= n.UpTo }) {
		return false
	}
	a.refuted = append(a.refuted, n)
	if len(a.refuted) > maxRefuted {
		a.refuted = slices.Delete(a.refuted, 0, 1)
	}
	delete(a.losses, n.Life)
	for _, r := range a.tasks {
		r.crashes = slices.DeleteFunc(r.crashes, func(c fleet.Crash) bool { return refutes(n, c) })
	}
	return true
}

// Crashes returns the crashes under a task, from the first on.
func (a *Account) Crashes(t job.TaskID) []fleet.Crash {
	if r := a.tasks[t]; r != nil {
		return r.crashes
	}
	return nil
}

// Finding returns what the crashes under a task say of it.
func (a *Account) Finding(t job.TaskID) Finding {
	all := a.Crashes(t)
	switch {
	case a.proven(all):
		return Proven
	case len(all) >= lateCrashes || slices.ContainsFunc(all, func(c fleet.Crash) bool { return c.After <= Prompt }):
		return Suspected
	}
	return Unsuspected
}

// proven tells whether crashes prove that a task causes them.
func (a *Account) proven(all []fleet.Crash) bool {
	if len(all) < proofs {
		return false
	}
	needed := a.needed()
	for _, c := range all {
		if !a.counts(c) {
			continue
		}
		s := a.agreeing(all, c)
		switch {
		case s.alone >= needed && s.vms > 1, s.alone >= proofs && s.all >= togetherProofs && s.vms > 1:
			return true
		case s.alone >= ownProofs && c.After <= Prompt:
			return true
		}
	}
	return false
}

// counts tells whether a crash counts as one under a task that was alone.
func (a *Account) counts(c fleet.Crash) bool { return c.Alone || a.without.Off(rule.CrashAlone) }

// sum counts the crashes at one point of a task's run: all of them, those while it was alone, and the VMs on which they were.
type sum struct{ all, alone, vms int }

// agreeing sums up the crashes at the same point of a task's run as one of them.
func (a *Account) agreeing(all []fleet.Crash, as fleet.Crash) sum {
	var s sum
	on := make(map[ident.UpstreamName]bool)
	for _, c := range all {
		if (c.After - as.After).Abs() > samePoint {
			continue
		}
		s.all++
		on[c.VM] = true
		if a.counts(c) {
			s.alone++
		}
	}
	s.vms = len(on)
	return s
}

// Alone is for how long after its start nothing may be started beside a suspected task: until it has outlived the points at
// which upstreams were lost, by as much as their ages may be wrong, and where these are late, and may differ more, as long again.
func (a *Account) Alone(t job.TaskID) time.Duration {
	var latest time.Duration
	for _, c := range a.Crashes(t) {
		latest = max(latest, c.After)
	}
	if latest <= Prompt {
		return latest + Seasoned
	}
	return 2 * (latest + Seasoned)
}

// LostOn tells whether a VM's upstream was lost under a task: another one proves more.
func (a *Account) LostOn(t job.TaskID, vm ident.UpstreamName) bool {
	return slices.ContainsFunc(a.Crashes(t), func(c fleet.Crash) bool { return c.VM == vm })
}

// Spread picks from news what concerns tasks that more than one upstream was lost under: that is passed on to all.
func (a *Account) Spread(news []fleet.Crash) []fleet.Crash {
	return slices.DeleteFunc(slices.Clone(news), func(c fleet.Crash) bool { return len(a.Crashes(c.Task)) < 2 })
}

// Repeats tells whether a life counts as lost under such a task, and has not been refuted.
func (a *Account) Repeats(life ident.UpstreamLife) bool {
	for _, r := range a.tasks {
		if len(r.crashes) > 1 && slices.ContainsFunc(r.crashes, func(c fleet.Crash) bool { return c.Life == life }) {
			return true
		}
	}
	return false
}

// Repeated lists the crashes under tasks that more than one upstream was lost under, as far as they are remembered: single ones are
// known to all that were linked with the agent, and in a region of thousands of VMs an outage brings too many of them to be told
// to all others.
func (a *Account) Repeated(now time.Time) []fleet.Crash { return a.remembered(now, 2) }

// All lists all crashes that are remembered.
func (a *Account) All(now time.Time) []fleet.Crash { return a.remembered(now, 1) }

// remembered lists the crashes under tasks that at least so many upstreams were lost under.
func (a *Account) remembered(now time.Time, least int) []fleet.Crash {
	var out []fleet.Crash
	for _, t := range a.order {
		if r := a.tasks[t]; len(r.crashes) >= least && now.Sub(r.last) < keepFor {
			out = append(out, r.crashes...)
		}
	}
	return out
}

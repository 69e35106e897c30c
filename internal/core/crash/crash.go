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
	"cmp"
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
	// Prompt is how soon after its start most tasks that crash an upstream do so: they need little of their work for it.
	Prompt = 40 * time.Millisecond
	// Seasoned is from which age on a run is not to blame for a prompt crash: Prompt, and ageError.
	Seasoned = 100 * time.Millisecond
	// ageError is by how much less than its true age the age of a run at a crash may be: an upstream that takes no start and ends
	// no run answers its agent every 50 ms, and the answer takes its time.
	ageError = 60 * time.Millisecond
	// aloneError is the same while a task is alone: its upstream is asked some 10 ms apart, or 20 ms at worst, and answers may be slow.
	aloneError = 25 * time.Millisecond
	// startError is by how much a task's true age at a crash may be less than the known one: its start was on the way.
	startError = 5 * time.Millisecond
	// proofs is how many upstreams must be lost at one point of a task's run while it is alone, on two VMs at least. With the crash before,
	// such a task is started three times. A cause that takes each upstream once in 30 s takes two of them by chance with
	// one task in 100,000. Later in its run than Prompt one more is needed if older tasks were left at all of them: one of those may have
	// come to its own point.
	proofs = 2
	// moreProofs is how many it takes while more upstreams are lost to other causes: then the same holds for one that takes each of them every
	// five seconds.
	moreProofs = 3
	// togetherProofs is how many it takes then, beside other tasks or not, once the task was alone at two of them.
	togetherProofs = 4
	// closeProofs crashes that are no further than closePoint from one of them prove as well, two of them while the task was alone, however much else
	// is lost: other causes strike one point of a task's run that often with less than one suspect in 10,000 even if they take each
	// upstream every two seconds.
	closeProofs = 3
	closePoint  = 10 * time.Millisecond
	// ownProofs is how many must be lost where there is only one VM, all of them promptly: an upstream that goes down and up by turns
	// loses whatever is there. One of them may be made up for by two beside other tasks.
	ownProofs = 4
	// otherLosses is how many upstreams are lost to other causes, for each there is, within lossesFor when it takes more to suspect a task,
	// and more proofs.
	otherLosses = 0.6
	lossesFor   = 20 * time.Second
	// fewLosses are not many, however few upstreams there are, where it is about suspecting a task.
	fewLosses = 2
)

const (
	// KeepFor is how long crashes are remembered after the last one. A caller sends a job again after seconds; what must outlast all
	// processes is kept with the job.
	KeepFor = 2 * time.Minute
	// maxTasks bounds the tasks that are remembered, in some 4 MB: those of 100 upstreams that crash at once.
	maxTasks = 4096
	// maxCrashes bounds the crashes that are remembered of one task.
	maxCrashes = 8
	// maxOn bounds what is remembered of one VM: a row of 4 kB.
	maxOn = 32
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
	// others is how many of the losses no task that was alone explains.
	others int
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
	if slices.ContainsFunc(r.crashes, func(have fleet.Crash) bool { return sameLife(have.Life, c.Life) }) {
		return false
	}
	if len(r.crashes) >= maxCrashes {
		a.forgetOne(r)
	}
	r.crashes, r.last = append(r.crashes, c), now
	return true
}

// forgetOne forgets the oldest crash that the task did not cause, or the oldest of all.
func (a *Account) forgetOne(r *record) {
	all := a.suspicious(r.crashes)
	i := slices.IndexFunc(r.crashes, func(c fleet.Crash) bool { return !slices.Contains(all, c) })
	r.crashes = slices.Delete(r.crashes, max(i, 0), max(i, 0)+1)
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
	a.countOthers()
}

// countOthers counts the losses to other causes than tasks that were alone there: Finding is asked for each task at each placing, and losses
// change seldom.
func (a *Account) countOthers() {
	a.others = 0
	for _, l := range a.losses {
		if !l.alone {
			a.others++
		}
	}
}

// SetUpstreams says how many upstreams there are.
func (a *Account) SetUpstreams(n int) { a.upstreams = n }

// manyLost tells whether more upstreams than so many, and than a part of those that there are, were lately lost to other causes than tasks
// that were alone there.
func (a *Account) manyLost(atLeast int) bool {
	return a.others > atLeast && float64(a.others) > otherLosses*float64(a.upstreams)
}

// needed is how many upstreams must be lost under a task to prove that it causes that.
func (a *Account) needed() int {
	if a.manyLost(0) {
		return moreProofs
	}
	return proofs
}

// drop forgets tasks whose last crash is long past, and the oldest one if there are too many.
func (a *Account) drop(now time.Time) {
	for len(a.order) > 0 {
		oldest := a.order[0]
		r := a.tasks[oldest]
		if r != nil && len(a.order) < maxTasks && now.Sub(r.last) < KeepFor {
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
	a.countOthers()
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
	case len(all) == 0:
		return Unsuspected // nearly all tasks
	case a.proven(all):
		return Proven
	case len(a.suspicious(all)) > 0:
		return Suspected
	}
	return Unsuspected
}

// suspicious picks the crashes that a task may have caused. A task that crashes upstreams does so at one point of its run, so that it is
// not to blame for a crash at a point that a later run of it has outlived. Each upstream that something else takes is lost under all its
// runs, most of them late, so that a late crash which is the only one at its point says nothing, and while many upstreams are lost to other
// causes a prompt one says nothing either.
func (a *Account) suspicious(all []fleet.Crash) []fleet.Crash {
	prompt := !a.manyLost(fewLosses)
	var out []fleet.Crash
	for i, c := range all {
		if outlived(c, all[i+1:]) {
			continue
		}
		if prompt && c.After <= Prompt || repeated(c, all) {
			out = append(out, c)
		}
	}
	return out
}

// earliest and latest are between which ages of its run a task was at a crash.
func earliest(c fleet.Crash) time.Duration { return c.After - startError }

func latest(c fleet.Crash) time.Duration {
	if c.Alone {
		return max(c.After, c.Until) + aloneError
	}
	return max(c.After, c.Until) + aloneError + ageError
}

// samePointOf tells whether two crashes may have been at the same point of a task's run.
func samePointOf(a, b fleet.Crash) bool { return earliest(a) <= latest(b) && earliest(b) <= latest(a) }

// outlived tells whether a task has run on past the point of a crash in one of the runs that were lost later.
func outlived(c fleet.Crash, later []fleet.Crash) bool {
	return !anyPoint(c) && slices.ContainsFunc(later, func(l fleet.Crash) bool { return earliest(l) > max(c.After, c.Until)+ageError+aloneError })
}

// repeated tells whether another crash may have been at the same point of a task's run.
func repeated(c fleet.Crash, all []fleet.Crash) bool {
	return slices.ContainsFunc(all, func(o fleet.Crash) bool {
		return !sameLife(o.Life, c.Life) && (anyPoint(o) || samePointOf(o, c))
	})
}

// anyPoint tells whether a crash may have been at any point of a task's run: the upstream was lost with its agent.
func anyPoint(c fleet.Crash) bool { return c.Loss == 0 }

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
		if s.enough(needed, c.After) && !a.shared(&s) {
			return true
		}
	}
	return false
}

// counts tells whether a crash counts as one under a task that was alone.
func (a *Account) counts(c fleet.Crash) bool { return c.Alone || a.without.Off(rule.CrashAlone) }

// sum counts the crashes at one point of a task's run: all of them, those while it was alone, those while nothing else was left there, and
// the VMs on which they were; and those close to the point.
type sum struct {
	all, alone, sole, vms int
	close, closeAlone     int
	// left are those while it was alone, beside older tasks.
	left []fleet.Crash
	// latest is the latest of them while it was alone.
	latest time.Duration
}

// enough tells whether the crashes are enough to prove that the task causes them, at a point of its run; needed is how many it takes on two VMs.
func (s *sum) enough(needed int, point time.Duration) bool {
	if s.vms > 1 {
		switch {
		case s.alone > needed, s.alone == needed && s.surely():
			return true
		case s.alone >= proofs && s.all >= togetherProofs:
			return true
		case s.closeAlone >= proofs && s.close >= closeProofs && s.surely():
			return true
		}
	}
	return point <= Prompt && (s.alone >= ownProofs || s.alone >= moreProofs && s.all > ownProofs)
}

// surely tells whether no other task can have been at its own point each time. Nothing else was left at one of them: another cause may have taken
// that, unless there are two, or more at the point, fewer of them if they are close.
func (s *sum) surely() bool {
	switch {
	case s.latest <= Prompt, s.sole >= proofs:
		return true
	case s.sole == 0:
		return false
	}
	return s.all >= togetherProofs || s.all >= closeProofs && s.closeAlone >= proofs
}

// shared tells whether another task was left at all upstreams that were lost late in a task's run while that was alone, at one point of its own
// run: it may be the one that crashes them. Two tasks that are placed anew together start at like distances each time, so that their
// ages agree from one upstream to the next, whichever does it.
func (a *Account) shared(s *sum) bool {
	if s.sole > 0 || s.latest <= Prompt || len(s.left) == 0 {
		return false
	}
	for t, r := range a.tasks {
		if t != s.left[0].Task && companion(r.crashes, s.left) {
			return true
		}
	}
	return false
}

// companion tells whether a task's crashes are, at one point of its run, of all the lives that others are of.
func companion(own, others []fleet.Crash) bool {
	var first *fleet.Crash
	for _, o := range others {
		i := slices.IndexFunc(own, func(c fleet.Crash) bool { return sameLife(c.Life, o.Life) && !anyPoint(c) })
		if i < 0 || first != nil && !samePointOf(*first, own[i]) {
			return false
		}
		first = &own[i]
	}
	return true
}

// agreeing sums up the crashes at the same point of a task's run as one of them.
func (a *Account) agreeing(all []fleet.Crash, as fleet.Crash) sum {
	var s sum
	on := make(map[ident.UpstreamName]bool)
	for _, c := range all {
		if !anyPoint(c) && !samePointOf(c, as) {
			continue
		}
		s.all++
		on[c.VM] = true
		if a.counts(c) {
			s.alone++
			s.latest = max(s.latest, c.After)
		}
		switch {
		case c.Sole:
			s.sole++
		case a.counts(c):
			s.left = append(s.left, c)
		}
		if !anyPoint(c) && (c.After-as.After).Abs() <= closePoint {
			s.close++
			if a.counts(c) {
				s.closeAlone++
			}
		}
	}
	s.vms = len(on)
	return s
}

// Alone is for how long after its start nothing may be started beside a suspected task: until it has outlived the points at
// which it may have crashed upstreams, by as much as their ages may be wrong.
func (a *Account) Alone(t job.TaskID) time.Duration {
	var latest time.Duration
	for _, c := range a.suspicious(a.Crashes(t)) {
		latest = max(latest, c.After)
	}
	return latest + Seasoned
}

// LostOn tells whether a VM's upstream was lost under a task: another one proves more.
func (a *Account) LostOn(t job.TaskID, vm ident.UpstreamName) bool {
	return slices.ContainsFunc(a.Crashes(t), func(c fleet.Crash) bool { return c.VM == vm })
}

// LostAloneOn tells whether that was while the task was alone there, and not longer ago than a time.
func (a *Account) LostAloneOn(now time.Time, t job.TaskID, vm ident.UpstreamName, within time.Duration) bool {
	r := a.tasks[t]
	return r != nil && now.Sub(r.last) <= within && slices.ContainsFunc(r.crashes, func(c fleet.Crash) bool { return c.VM == vm && c.Alone })
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

// On lists the newest crashes of a VM's upstreams: what the VM's agent remembers, for the case that all processes end at once.
func (a *Account) On(now time.Time, vm ident.UpstreamName) []fleet.Crash {
	all := slices.DeleteFunc(a.All(now), func(c fleet.Crash) bool { return c.VM != vm || anyPoint(c) })
	slices.SortStableFunc(all, func(a, b fleet.Crash) int { return cmp.Compare(b.Loss, a.Loss) })
	return all[:min(len(all), maxOn)]
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
		if r := a.tasks[t]; len(r.crashes) >= least && now.Sub(r.last) < KeepFor {
			out = append(out, r.crashes...)
		}
	}
	return out
}

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
	PromptAge = 40 * time.Millisecond
	// Seasoned is from which age on a run is not to blame for a prompt crash: Prompt, and ageError.
	SafeAge = 100 * time.Millisecond
	// ageError is by how much less than its true age the age of a run at a crash may be: an upstream that takes no start and ends
	// no run answers its agent every 50 ms, and the answer takes its time.
	maxAgeError = 60 * time.Millisecond
	// aloneError is the same while a task is alone: its upstream is asked some 10 ms apart, or 20 ms at worst, and answers may be slow.
	maxAloneAgeError = 25 * time.Millisecond
	// startError is by how much a task's true age at a crash may be less than the known one: its start was on the way.
	maxStartDelay = 5 * time.Millisecond
	// proofs is how many upstreams must be lost at one point of a task's run while it is alone, on two VMs at least. With the crash before,
	// such a task is started three times. A cause that takes each upstream once in 30 s takes two of them by chance with
	// one task in 100,000. Later in its run than Prompt one more is needed if older tasks were left at all of them: one of those may have
	// come to its own point.
	minCrashes = 2
	// moreProofs is how many it takes while more upstreams are lost to other causes: then the same holds for one that takes each of them every
	// five seconds.
	minCrashesAmidLosses = 3
	// togetherProofs is how many it takes then, beside other tasks or not, once the task was alone at two of them.
	minTotalCrashes = 4
	// closeProofs crashes that are no further than closePoint from one of them prove as well, two of them while the task was alone, however much else
	// is lost: other causes strike one point of a task's run that often with less than one suspect in 10,000 even if they take each
	// upstream every two seconds.
	minCloseCrashes = 3
	closeDistance   = 10 * time.Millisecond
	// ownProofs is how many must be lost where there is only one VM, all of them promptly: an upstream that goes down and up by turns
	// loses whatever is there. One of them may be made up for by two beside other tasks.
	minCrashesOnOneVM = 4
	// otherLosses is how many upstreams are lost to other causes, for each there is, within lossesFor when it takes more to suspect a task,
	// and more proofs.
	highLossRatio = 0.6
	lossWindow    = 20 * time.Second
	// fewLosses are not many, however few upstreams there are, where it is about suspecting a task.
	toleratedLosses = 2
)

const (
	// KeepFor is how long crashes are remembered after the last one. A caller sends a job again after seconds; what must outlast all
	// processes is kept with the job.
	Retention = 2 * time.Minute
	// maxTasks bounds the tasks that are remembered, in some 4 MB: those of 100 upstreams that crash at once.
	maxTasks = 4096
	// maxCrashes bounds the crashes that are remembered of one task.
	maxCrashesPerTask = 8
	// maxOn bounds what is remembered of one VM: a row of 4 kB.
	maxCrashesPerVM = 32
	// maxRefuted bounds the refutations that are remembered.
	maxRefutations = 256
)

// Account is what one process knows of crashes. One goroutine uses it.
type Tracker struct {
	without rule.Set
	tasks   map[job.TaskID]*record
	// order lists the tasks from the one on that was first crashed under, maxTasks at most.
	order []job.TaskID
	// losses are the lives that were lost lately, and upstreams how many there are.
	losses    map[ident.UpstreamLife]loss
	upstreams int
	// others is how many of the losses no task that was alone explains.
	unexplainedLosses int
	// refuted are of lives that have answered after they were taken for lost, the oldest first.
	refutations []fleet.Refutation
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
func New(without rule.Set) *Tracker {
	return &Tracker{without: without, tasks: make(map[job.TaskID]*record), losses: make(map[ident.UpstreamLife]loss)}
}

// Add takes in a crash, and tells whether it is news.
func (a *Tracker) Add(now time.Time, c fleet.Crash) bool {
	if slices.ContainsFunc(a.refutations, func(r fleet.Refutation) bool { return refutes(r, c) }) {
		return false
	}
	a.recordLoss(now, c)
	r := a.tasks[c.Task]
	if r == nil {
		a.expireTasks(now)
		r = &record{}
		a.tasks[c.Task] = r
		a.order = append(a.order, c.Task)
	}
	if slices.ContainsFunc(r.crashes, func(have fleet.Crash) bool { return sameLife(have.Life, c.Life) }) {
		return false
	}
	if len(r.crashes) >= maxCrashesPerTask {
		a.evictCrash(r)
	}
	r.crashes, r.last = append(r.crashes, c), now
	return true
}

// forgetOne forgets the oldest crash that the task did not cause, or the oldest of all.
func (a *Tracker) evictCrash(r *record) {
	all := a.suspiciousCrashes(r.crashes)
	i := slices.IndexFunc(r.crashes, func(c fleet.Crash) bool { return !slices.Contains(all, c) })
	r.crashes = slices.Delete(r.crashes, max(i, 0), max(i, 0)+1)
}

// AddAll takes in crashes, and returns those that are news.
func (a *Tracker) AddAll(now time.Time, all []fleet.Crash) []fleet.Crash {
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
func (a *Tracker) recordLoss(now time.Time, c fleet.Crash) {
	maps.DeleteFunc(a.losses, func(_ ident.UpstreamLife, l loss) bool { return now.Sub(l.at) > lossWindow })
	l, known := a.losses[c.Life]
	if !known {
		l.at = now
	}
	l.alone = l.alone || c.Alone
	a.losses[c.Life] = l
	a.countUnexplainedLosses()
}

// countOthers counts the losses to other causes than tasks that were alone there: Finding is asked for each task at each placing, and losses
// change seldom.
func (a *Tracker) countUnexplainedLosses() {
	a.unexplainedLosses = 0
	for _, l := range a.losses {
		if !l.alone {
			a.unexplainedLosses++
		}
	}
}

// SetUpstreams says how many upstreams there are.
func (a *Tracker) SetUpstreamCount(n int) { a.upstreams = n }

// manyLost tells whether more upstreams than so many, and than a part of those that there are, were lately lost to other causes than tasks
// that were alone there.
func (a *Tracker) hasManyLosses(atLeast int) bool {
	return a.unexplainedLosses > atLeast && float64(a.unexplainedLosses) > highLossRatio*float64(a.upstreams)
}

// needed is how many upstreams must be lost under a task to prove that it causes that.
func (a *Tracker) requiredCrashes() int {
	if a.hasManyLosses(0) {
		return minCrashesAmidLosses
	}
	return minCrashes
}

// drop forgets tasks whose last crash is long past, and the oldest one if there are too many.
func (a *Tracker) expireTasks(now time.Time) {
	for len(a.order) > 0 {
		oldest := a.order[0]
		r := a.tasks[oldest]
		if r != nil && len(a.order) < maxTasks && now.Sub(r.last) < Retention {
			return
		}
		delete(a.tasks, oldest)
		a.order = slices.Delete(a.order, 0, 1)
	}
}

// refutes tells whether a crash is of a loss that was refuted.
func refutes(r fleet.Refutation, c fleet.Crash) bool { return r.Life == c.Life && c.Loss <= r.UpTo }

// Refute takes in that a life which was taken for lost has answered since, and tells whether that is news.
func (a *Tracker) Refute(n fleet.Refutation) bool {
	if slices.ContainsFunc(a.refutations, func(r fleet.Refutation) bool { return r.Life == n.Life && r.UpTo >= n.UpTo }) {
		return false
	}
	a.refutations = append(a.refutations, n)
	if len(a.refutations) > maxRefutations {
		a.refutations = slices.Delete(a.refutations, 0, 1)
	}
	delete(a.losses, n.Life)
	a.countUnexplainedLosses()
	for _, r := range a.tasks {
		r.crashes = slices.DeleteFunc(r.crashes, func(c fleet.Crash) bool { return refutes(n, c) })
	}
	return true
}

// Crashes returns the crashes under a task, from the first on.
func (a *Tracker) Crashes(t job.TaskID) []fleet.Crash {
	if r := a.tasks[t]; r != nil {
		return r.crashes
	}
	return nil
}

// Finding returns what the crashes under a task say of it.
func (a *Tracker) Finding(t job.TaskID) Finding {
	all := a.Crashes(t)
	switch {
	case len(all) == 0:
		return Unsuspected // nearly all tasks
	case a.proven(all):
		return Proven
	case len(a.suspiciousCrashes(all)) > 0:
		return Suspected
	}
	return Unsuspected
}

// suspicious picks the crashes that a task may have caused. A task that crashes upstreams does so at one point of its run, so that it is
// not to blame for a crash at a point that a later run of it has outlived. Each upstream that something else takes is lost under all its
// runs, most of them late, so that a late crash which is the only one at its point says nothing, and while many upstreams are lost to other
// causes a prompt one says nothing either.
func (a *Tracker) suspiciousCrashes(all []fleet.Crash) []fleet.Crash {
	prompt := !a.hasManyLosses(toleratedLosses)
	var out []fleet.Crash
	for i, c := range all {
		if isOutlived(c, all[i+1:]) {
			continue
		}
		if prompt && c.Age <= PromptAge || isRepeated(c, all) {
			out = append(out, c)
		}
	}
	return out
}

// earliest and latest are between which ages of its run a task was at a crash.
func earliestAge(c fleet.Crash) time.Duration { return c.Age - maxStartDelay }

func latestAge(c fleet.Crash) time.Duration {
	if c.Alone {
		return max(c.Age, c.MaxAge) + maxAloneAgeError
	}
	return max(c.Age, c.MaxAge) + maxAloneAgeError + maxAgeError
}

// samePointOf tells whether two crashes may have been at the same point of a task's run.
func mayBeSamePoint(a, b fleet.Crash) bool {
	return earliestAge(a) <= latestAge(b) && earliestAge(b) <= latestAge(a)
}

// outlived tells whether a task has run on past the point of a crash in one of the runs that were lost later.
func isOutlived(c fleet.Crash, later []fleet.Crash) bool {
	return !isAgeUnknown(c) && slices.ContainsFunc(later, func(l fleet.Crash) bool { return earliestAge(l) > max(c.Age, c.MaxAge)+maxAgeError+maxAloneAgeError })
}

// repeated tells whether another crash may have been at the same point of a task's run.
func isRepeated(c fleet.Crash, all []fleet.Crash) bool {
	return slices.ContainsFunc(all, func(o fleet.Crash) bool {
		return !sameLife(o.Life, c.Life) && (isAgeUnknown(o) || mayBeSamePoint(o, c))
	})
}

// anyPoint tells whether a crash may have been at any point of a task's run: the upstream was lost with its agent.
func isAgeUnknown(c fleet.Crash) bool { return c.Loss == 0 }

// proven tells whether crashes prove that a task causes them.
func (a *Tracker) proven(all []fleet.Crash) bool {
	if len(all) < minCrashes {
		return false
	}
	needed := a.requiredCrashes()
	for _, c := range all {
		if !a.countsAsAlone(c) {
			continue
		}
		s := a.tallyAt(all, c)
		if s.isProof(needed, c.Age) && !a.hasCompanion(&s) {
			return true
		}
	}
	return false
}

// counts tells whether a crash counts as one under a task that was alone.
func (a *Tracker) countsAsAlone(c fleet.Crash) bool { return c.Alone || a.without.Has(rule.CrashAlone) }

// sum counts the crashes at one point of a task's run: all of them, those while it was alone, those while nothing else was left there, and
// the VMs on which they were; and those close to the point.
type tally struct {
	all, alone, sole, vms int
	close, closeAlone     int
	// left are those while it was alone, beside older tasks.
	besideOlder []fleet.Crash
	// latest is the latest of them while it was alone.
	latestAlone time.Duration
}

// enough tells whether the crashes are enough to prove that the task causes them, at a point of its run; needed is how many it takes on two VMs.
func (s *tally) isProof(needed int, point time.Duration) bool {
	if s.vms > 1 {
		switch {
		case s.alone > needed, s.alone == needed && s.rulesOutOthers():
			return true
		case s.alone >= minCrashes && s.all >= minTotalCrashes:
			return true
		case s.closeAlone >= minCrashes && s.close >= minCloseCrashes && s.rulesOutOthers():
			return true
		}
	}
	return point <= PromptAge && (s.alone >= minCrashesOnOneVM || s.alone >= minCrashesAmidLosses && s.all > minCrashesOnOneVM)
}

// surely tells whether no other task can have been at its own point each time. Nothing else was left at one of them: another cause may have taken
// that, unless there are two, or more at the point, fewer of them if they are close.
func (s *tally) rulesOutOthers() bool {
	switch {
	case s.latestAlone <= PromptAge, s.sole >= minCrashes:
		return true
	case s.sole == 0:
		return false
	}
	return s.all >= minTotalCrashes || s.all >= minCloseCrashes && s.closeAlone >= minCrashes
}

// shared tells whether another task was left at all upstreams that were lost late in a task's run while that was alone, at one point of its own
// run: it may be the one that crashes them. Two tasks that are placed anew together start at like distances each time, so that their
// ages agree from one upstream to the next, whichever does it.
func (a *Tracker) hasCompanion(s *tally) bool {
	if s.sole > 0 || s.latestAlone <= PromptAge || len(s.besideOlder) == 0 {
		return false
	}
	for t, r := range a.tasks {
		if t != s.besideOlder[0].Task && isCompanion(r.crashes, s.besideOlder) {
			return true
		}
	}
	return false
}

// companion tells whether a task's crashes are, at one point of its run, of all the lives that others are of.
func isCompanion(own, others []fleet.Crash) bool {
	var first *fleet.Crash
	for _, o := range others {
		i := slices.IndexFunc(own, func(c fleet.Crash) bool { return sameLife(c.Life, o.Life) && !isAgeUnknown(c) })
		if i < 0 || first != nil && !mayBeSamePoint(*first, own[i]) {
			return false
		}
		first = &own[i]
	}
	return true
}

// agreeing sums up the crashes at the same point of a task's run as one of them.
func (a *Tracker) tallyAt(all []fleet.Crash, as fleet.Crash) tally {
	var s tally
	on := make(map[ident.UpstreamName]bool)
	for _, c := range all {
		if !isAgeUnknown(c) && !mayBeSamePoint(c, as) {
			continue
		}
		s.all++
		on[c.VM] = true
		if a.countsAsAlone(c) {
			s.alone++
			s.latestAlone = max(s.latestAlone, c.Age)
		}
		switch {
		case c.OnlyTask:
			s.sole++
		case a.countsAsAlone(c):
			s.besideOlder = append(s.besideOlder, c)
		}
		if !isAgeUnknown(c) && (c.Age-as.Age).Abs() <= closeDistance {
			s.close++
			if a.countsAsAlone(c) {
				s.closeAlone++
			}
		}
	}
	s.vms = len(on)
	return s
}

// Alone is for how long after its start nothing may be started beside a suspected task: until it has outlived the points at
// which it may have crashed upstreams, by as much as their ages may be wrong.
func (a *Tracker) AloneFor(t job.TaskID) time.Duration {
	var latest time.Duration
	for _, c := range a.suspiciousCrashes(a.Crashes(t)) {
		latest = max(latest, c.Age)
	}
	return latest + SafeAge
}

// LostOn tells whether a VM's upstream was lost under a task: another one proves more.
func (a *Tracker) HasCrashOn(t job.TaskID, vm ident.UpstreamName) bool {
	return slices.ContainsFunc(a.Crashes(t), func(c fleet.Crash) bool { return c.VM == vm })
}

// LostAloneOn tells whether that was while the task was alone there, and not longer ago than a time.
func (a *Tracker) HasAloneCrashOn(now time.Time, t job.TaskID, vm ident.UpstreamName, within time.Duration) bool {
	r := a.tasks[t]
	return r != nil && now.Sub(r.last) <= within && slices.ContainsFunc(r.crashes, func(c fleet.Crash) bool { return c.VM == vm && c.Alone })
}

// Spread picks from news what concerns tasks that more than one upstream was lost under: that is passed on to all.
func (a *Tracker) SelectRepeated(news []fleet.Crash) []fleet.Crash {
	return slices.DeleteFunc(slices.Clone(news), func(c fleet.Crash) bool { return len(a.Crashes(c.Task)) < 2 })
}

// Repeats tells whether a life counts as lost under such a task, and has not been refuted.
func (a *Tracker) IsRepeatLoss(life ident.UpstreamLife) bool {
	for _, r := range a.tasks {
		if len(r.crashes) > 1 && slices.ContainsFunc(r.crashes, func(c fleet.Crash) bool { return c.Life == life }) {
			return true
		}
	}
	return false
}

// On lists the newest crashes of a VM's upstreams: what the VM's agent remembers, for the case that all processes end at once.
func (a *Tracker) CrashesOn(now time.Time, vm ident.UpstreamName) []fleet.Crash {
	all := slices.DeleteFunc(a.All(now), func(c fleet.Crash) bool { return c.VM != vm || isAgeUnknown(c) })
	slices.SortStableFunc(all, func(a, b fleet.Crash) int { return cmp.Compare(b.Loss, a.Loss) })
	return all[:min(len(all), maxCrashesPerVM)]
}

// Repeated lists the crashes under tasks that more than one upstream was lost under, as far as they are remembered: single ones are
// known to all that were linked with the agent, and in a region of thousands of VMs an outage brings too many of them to be told
// to all others.
func (a *Tracker) Repeated(now time.Time) []fleet.Crash { return a.listCrashes(now, 2) }

// All lists all crashes that are remembered.
func (a *Tracker) All(now time.Time) []fleet.Crash { return a.listCrashes(now, 1) }

// remembered lists the crashes under tasks that at least so many upstreams were lost under.
func (a *Tracker) listCrashes(now time.Time, least int) []fleet.Crash {
	var out []fleet.Crash
	for _, t := range a.order {
		if r := a.tasks[t]; len(r.crashes) >= least && now.Sub(r.last) < Retention {
			out = append(out, r.crashes...)
		}
	}
	return out
}

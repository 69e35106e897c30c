package crash

import (
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rule"
)

const (
	// minCrashes is the number of upstreams, on at least two VMs, that must be lost at one point of a task's run while the task is alone.
	// Including the crash that made it suspected, such a task is started three times. A cause that hits each upstream once in 30 s hits two
	// of them by chance for one task in 100,000. If the point is later than PromptAge and older tasks remained on all of those upstreams,
	// one more crash is needed: one of the older tasks may have reached the point at which it crashes upstreams.
	minCrashes = 2
	// minCrashesAmidLosses replaces minCrashes while many upstreams are lost to other causes. It keeps the same error rate for a cause that
	// hits each upstream every five seconds.
	minCrashesAmidLosses = 3
	// minTotalCrashes is the number of crashes that suffice even while many upstreams are lost to other causes: the task must have been alone
	// at minCrashes of them and may have run beside others at the other crashes.
	minTotalCrashes = 4
	// minBoundedCrashes replaces minTotalCrashes if the ages of some crashes are unknown, or known within wide bounds only: the task must have
	// been alone at minBoundedAlone of them, at one of these at a known age.
	minBoundedCrashes = 5
	minBoundedAlone   = 3
	// minCloseCrashes is the number of crashes within closeDistance of one of them that are a proof however many upstreams are lost to other
	// causes, if the task was alone at two of them. Other causes hit one point of a task's run that often for less than one suspect in
	// 10,000, even if they hit each upstream every two seconds.
	minCloseCrashes = 3
	closeDistance   = 10 * time.Millisecond
	// minCrashesOnOneVM is the number of upstreams that must be lost if there is only one VM, all of them promptly: an upstream that keeps
	// going down and up loses whatever runs on it. One of these crashes may be replaced by two at which the task ran beside others.
	minCrashesOnOneVM = 4
)

// suspiciousCrashes returns the crashes that the task may have caused. The rules are:
//   - A task that crashes upstreams does so at one point of its run. It did not cause a crash at a point that a later run has outlived.
//   - An upstream that is lost to another cause is lost under all its runs, most of them late in the run. A late crash therefore counts
//     only if another crash may have been at the same point.
//   - A prompt crash counts by itself, unless many upstreams are lost to other causes.
func (tr *Tracker) suspiciousCrashes(all []fleet.Crash) []fleet.Crash {
	prompt := !tr.hasManyLosses(toleratedLosses)
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

// isOutlived reports whether one of the runs that were lost later ran past the point of a crash.
func isOutlived(c fleet.Crash, later []fleet.Crash) bool {
	return !isAgeUnknown(c) && slices.ContainsFunc(later, func(l fleet.Crash) bool {
		return earliestAge(l) > likelyMaxAge(c)+maxAgeError+maxAloneAgeError
	})
}

// isRepeated reports whether another crash, of another life, may have been at the same point of the task's run.
func isRepeated(c fleet.Crash, all []fleet.Crash) bool {
	return slices.ContainsFunc(all, func(o fleet.Crash) bool {
		return !o.Life.MayBe(c.Life) && (isAgeUnknown(o) || mayBeSamePoint(o, c))
	})
}

// proven reports whether crashes prove that the task causes them.
func (tr *Tracker) proven(all []fleet.Crash) bool {
	if len(all) < minCrashes {
		return false
	}
	needed := tr.requiredCrashes()
	for _, c := range all {
		if !tr.countsAsAlone(c) {
			continue
		}
		s := tr.tallyAt(all, c)
		if s.isProof(needed, c.Age) && !tr.hasCompanion(&s) {
			return true
		}
	}
	return false
}

// countsAsAlone reports whether a crash counts as one at which the task was alone.
func (tr *Tracker) countsAsAlone(c fleet.Crash) bool {
	return c.Alone || tr.without.Has(rule.CrashAlone)
}

// tally counts the crashes at one point of a task's run: all of them, those at which it was the only task on the upstream, and the VMs
// they were on.
type tally struct {
	all, onlyTask, vms int
	// alone counts the crashes at which the task was alone. anyAlone adds those at an unknown age, and possiblyAlone those whose agents may
	// have been silent before them; toldAlone leaves out those at which the agent was lost too.
	alone, anyAlone, possiblyAlone, toldAlone int
	// close counts the crashes within closeDistance of the point. closeAlone counts those of them that are in toldAlone.
	close, closeAlone int
	// besideOlder are the crashes at which the task was alone but older tasks remained on the upstream.
	besideOlder []fleet.Crash
	// latestAlone is the highest age of the run at a crash at which the task was alone.
	latestAlone time.Duration
}

// isProof reports whether the crashes prove that the task causes them. point is the age of the run at the crash that was tallied around;
// needed is the number of crashes that suffices on two VMs. If agents were lost with upstreams it takes one more, since whole VMs are also
// lost for causes that take no upstream alone.
func (s *tally) isProof(needed int, point time.Duration) bool {
	if s.vms > 1 {
		switch {
		case s.anyAlone > needed, s.toldAlone == needed && s.rulesOutOthers():
			return true
		case s.alone >= minCrashes && s.all >= minTotalCrashes:
			return true
		case s.alone > 0 && s.possiblyAlone >= minBoundedAlone && s.all >= minBoundedCrashes:
			return true
		case s.closeAlone >= minCrashes && s.close >= minCloseCrashes && s.rulesOutOthers():
			return true
		}
	}
	return point <= PromptAge && (s.toldAlone >= minCrashesOnOneVM || s.toldAlone >= minCrashesAmidLosses && s.all > minCrashesOnOneVM)
}

// rulesOutOthers reports whether no other task can have caused all the crashes by reaching its own crash point each time. Being the only
// task on the upstream at one crash is not enough by itself, because that crash may have another cause: two such crashes are needed, or
// more crashes at the same point, of which fewer are needed if they are close to it.
func (s *tally) rulesOutOthers() bool {
	switch {
	case s.latestAlone <= PromptAge, s.onlyTask >= minCrashes:
		return true
	case s.onlyTask == 0:
		return false
	}
	return s.all >= minTotalCrashes || s.all >= minCloseCrashes && s.closeAlone >= minCrashes
}

// hasCompanion reports whether another task remained on all the upstreams that were lost late in a task's run while that task was alone,
// each time at the same point of the other task's own run. The other task may then be the one that crashes them. Two tasks that are
// placed again together start at about the same distance each time, so both their ages agree from one upstream to the next, whichever
// of them is the cause.
func (tr *Tracker) hasCompanion(s *tally) bool {
	if s.onlyTask > 0 || s.latestAlone <= PromptAge || len(s.besideOlder) == 0 {
		return false
	}
	for t, r := range tr.tasks {
		if t != s.besideOlder[0].Task && isCompanion(r.crashes, s.besideOlder) {
			return true
		}
	}
	return false
}

// isCompanion reports whether the crashes own include one at each life that others were lost with, all at one point of the task's run.
func isCompanion(own, others []fleet.Crash) bool {
	var first *fleet.Crash
	for _, o := range others {
		i := slices.IndexFunc(own, func(c fleet.Crash) bool { return c.Life.MayBe(o.Life) && !isAgeUnknown(c) })
		if i < 0 || first != nil && !mayBeSamePoint(*first, own[i]) {
			return false
		}
		first = &own[i]
	}
	return true
}

// tallyAt counts the crashes that may have been at the same point of a task's run as the crash at.
func (tr *Tracker) tallyAt(all []fleet.Crash, at fleet.Crash) tally {
	var s tally
	vms := make(map[ident.UpstreamName]bool)
	for _, c := range all {
		if !isAgeUnknown(c) && (isAgeUnknown(at) || !isPossiblyAt(c, at)) {
			continue
		}
		s.all++
		vms[c.VM] = true
		alone := tr.countsAsAlone(c)
		s.possiblyAlone += count(alone)
		if !isAgeUnknown(c) && !mayBeSamePoint(c, at) {
			continue
		}
		s.anyAlone += count(alone)
		if isAgeUnknown(c) {
			continue
		}
		told := alone && !c.WithAgent
		s.alone += count(alone)
		s.toldAlone += count(told)
		if alone {
			s.latestAlone = max(s.latestAlone, c.Age)
		}
		switch {
		case c.OnlyTask:
			s.onlyTask++
		case alone:
			s.besideOlder = append(s.besideOlder, c)
		}
		if (c.Age - at.Age).Abs() <= closeDistance {
			s.close++
			s.closeAlone += count(told)
		}
	}
	s.vms = len(vms)
	return s
}

// count returns 1 for true and 0 for false.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Package burn computes how fast each service uses up its error budget. A burn rate is the share of jobs that fail or are slow, divided
// by the share that the service's objective allows, in a window of time. At a burn rate of 1, the budget lasts exactly for the
// objective's period. A rate far above 1 in both a short and a long window should alert somebody.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hillreel/internal/config/object"
	"hillreel/internal/core/ident"
)

const (
	// bucketSpan is the time that one bucket covers, which is the resolution of the windows.
	bucketSpan = 10 * time.Second
	// bucketCount is the number of buckets in a ring: six hours, the longest window.
	bucketCount = 6 * 60 * 6
)

// Window is a span of time, up to the present, over which burn rates are reported.
type Window struct {
	Name string
	Span time.Duration
}

// Windows lists the windows in the order of the report: two pairs of a short and a long window.
var Windows = []Window{
	{"5m", 5 * time.Minute}, {"1h", time.Hour}, {"30m", 30 * time.Minute}, {"6h", 6 * time.Hour},
}

// Job describes a job that has ended.
type Job struct {
	Service  ident.Service
	Complete bool
	// Took is the response time at the entry. Longest is the run time of the longest task.
	Took, Longest time.Duration
	// Upstreams lists the upstreams at which a run of the job failed, stalled or was lost.
	Upstreams []ident.UpstreamID
}

// tally counts jobs. jobs includes the incomplete and the slow ones.
type tally struct{ jobs, incomplete, slow int }

// ring holds one tally for each of the last bucketCount buckets.
type ring struct {
	buckets [bucketCount]tally
	// newest is the number of the newest bucket, counted from the Unix epoch. The ring holds it and the bucketCount-1 before it.
	newest int64
}

// bucket returns the tally of bucket now. Buckets that are newer than the newest one so far start empty.
func (r *ring) bucket(now int64) *tally {
	for r.newest < now {
		if now-r.newest > bucketCount {
			*r = ring{newest: now}
			break
		}
		r.newest++
		r.buckets[r.newest%bucketCount] = tally{}
	}
	return &r.buckets[now%bucketCount]
}

// sum adds up the tallies of the span that ends with bucket now.
func (r *ring) sum(now int64, span time.Duration) tally {
	r.bucket(now)
	var out tally
	for i := range min(int64(span/bucketSpan), bucketCount) {
		t := r.buckets[(now-i)%bucketCount]
		out.jobs += t.jobs
		out.incomplete += t.incomplete
		out.slow += t.slow
	}
	return out
}

// ringKey identifies what a ring counts: all jobs of a service, or its jobs that had a problem at one upstream.
type ringKey struct {
	service ident.Service
	// kind is empty for all jobs of the service, or "upstream"; name is the upstream's id.
	kind, name string
}

// Objectives returns the objectives in force.
type Objectives func() []object.Objective

// Recorder counts jobs as they end. It is safe for concurrent use.
type Recorder struct {
	now        func() time.Time
	objectives Objectives
	mu         sync.Mutex
	rings      map[ringKey]*ring
}

// New returns an empty Recorder.
func New(now func() time.Time, o Objectives) *Recorder {
	return &Recorder{now: now, objectives: o, rings: make(map[ringKey]*ring)}
}

// RecordJob counts a job that has ended. Jobs of services without an objective are ignored.
func (r *Recorder) RecordJob(j Job) {
	withinIdeal := 0.0
	for _, o := range r.objectives() {
		if ident.Service(o.Service) == j.Service {
			withinIdeal = o.WithinIdeal
		}
	}
	if withinIdeal == 0 {
		return // the service has no objective
	}
	slow := j.Complete && j.Took > time.Duration(withinIdeal*float64(j.Longest))
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.currentBucket()
	add := func(k ringKey) {
		counts := r.rings[k]
		if counts == nil {
			counts = &ring{newest: now}
			r.rings[k] = counts
		}
		t := counts.bucket(now)
		t.jobs++
		if !j.Complete {
			t.incomplete++
		}
		if slow {
			t.slow++
		}
	}
	add(ringKey{j.Service, "", ""})
	for _, u := range j.Upstreams {
		add(ringKey{j.Service, "upstream", string(u)})
	}
}

// currentBucket returns the number of the bucket of the present time.
func (r *Recorder) currentBucket() int64 { return r.now().UnixNano() / int64(bucketSpan) }

// Rate holds the burn rates of one service in one window.
type Rate struct {
	Window string `json:"window"`
	// Jobs is the number of jobs that ended in the window.
	Jobs int `json:"jobs"`
	// Complete is the burn rate of the budget for jobs that don't complete, and Fast that of the budget for slow jobs.
	Complete float64 `json:"complete_burn"`
	Fast     float64 `json:"fast_burn"`
}

// Contributor is an upstream that had a problem with bad jobs of the last hour. A bad job is one that did not complete or was slow.
type Contributor struct {
	// Kind is always "upstream", and Name is the upstream's id.
	Kind string `json:"part"`
	Name string `json:"name"`
	// Bad is the number of the upstream's bad jobs, and Share their share of all bad jobs of the service.
	Bad   int     `json:"bad_jobs"`
	Share float64 `json:"share_of_bad_jobs"`
}

// Service reports on one service.
type Service struct {
	Service ident.Service `json:"service"`
	Rates   []Rate        `json:"rates"`
	// Contributors lists the upstreams with the most bad jobs, the worst first.
	Contributors []Contributor `json:"culprits"`
}

// maxContributors bounds the contributors listed for a service.
const maxContributors = 5

// Report returns the burn rates of every service that has an objective, ordered by service.
func (r *Recorder) Report() []Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Service{}
	for _, o := range r.objectives() {
		out = append(out, r.reportService(o))
	}
	slices.SortFunc(out, func(a, b Service) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// reportService returns the report on the service of an objective. The caller holds r.mu.
func (r *Recorder) reportService(o object.Objective) Service {
	s := Service{Service: ident.Service(o.Service), Contributors: []Contributor{}}
	whole := r.rings[ringKey{s.Service, "", ""}]
	for _, w := range Windows {
		rate := Rate{Window: w.Name}
		if whole != nil {
			t := whole.sum(r.currentBucket(), w.Span)
			rate.Jobs = t.jobs
			rate.Complete = burnRate(t.incomplete, t.jobs, o.CompleteShare)
			rate.Fast = burnRate(t.slow, t.jobs-t.incomplete, o.FastShare)
		}
		s.Rates = append(s.Rates, rate)
	}
	if whole != nil {
		s.Contributors = r.topContributors(s.Service, whole.sum(r.currentBucket(), time.Hour))
	}
	return s
}

// burnRate returns the share of bad jobs divided by the share that is allowed, which is 1 - target.
func burnRate(bad, all int, target float64) float64 {
	if all == 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(all) / (1 - target)
}

// topContributors returns the upstreams with the most bad jobs of a service in the last hour. whole is the service's tally of that hour.
func (r *Recorder) topContributors(s ident.Service, whole tally) []Contributor {
	out := []Contributor{}
	bad := whole.incomplete + whole.slow
	for k, counts := range r.rings {
		if k.service != s || k.kind == "" {
			continue
		}
		if t := counts.sum(r.currentBucket(), time.Hour); t.incomplete+t.slow > 0 {
			out = append(out, Contributor{k.kind, k.name, t.incomplete + t.slow, float64(t.incomplete+t.slow) / float64(bad)})
		}
	}
	slices.SortFunc(out, func(a, b Contributor) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(len(out), maxContributors)]
}

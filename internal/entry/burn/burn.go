// Package burn follows how fast each service burns its error budget: the share of jobs that fail or are
// slow, over what its objective allows, in several windows. A burn of 1 uses the budget up exactly in the
// objective's period; far above 1 in a short and a long window at once is worth waking somebody.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hillreel/internal/config/object"
	"hillreel/internal/core/ident"
)

// step is the resolution of the windows, and steps how many are kept: six hours.
const (
	bucketSpan  = 10 * time.Second
	bucketCount = 6 * 60 * 6
)

// Window is a span of time over which burn is reported.
type Window struct {
	Name string
	Span time.Duration
}

// Windows are reported in this order: two pairs of a short and a long one.
var Windows = []Window{
	{"5m", 5 * time.Minute}, {"1h", time.Hour}, {"30m", 30 * time.Minute}, {"6h", 6 * time.Hour},
}

// Job is what is known of a job that has ended.
type Job struct {
	Service  ident.Service
	Complete bool
	// Took is the response time at the entry, Longest the run time of the longest task.
	Took, Longest time.Duration
	// Upstreams are those that failed, stalled or lost a run of it.
	Upstreams []ident.UpstreamID
}

type tally struct{ jobs, incomplete, slow int }

// ring holds one tally a step.
type ring struct {
	buckets [bucketCount]tally
	// newest counts steps since the zero time; older cells than steps before it are void.
	newest int64
}

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

func (r *ring) sum(now int64, span time.Duration) tally {
	r.bucket(now)
	var out tally
	for i := range min(int64(span/bucketSpan), bucketCount) {
		c := r.buckets[(now-i)%bucketCount]
		out.jobs += c.jobs
		out.incomplete += c.incomplete
		out.slow += c.slow
	}
	return out
}

type ringKey struct {
	service ident.Service
	// part is "", or upstream.
	kind, name string
}

// Objectives are the objectives in force.
type Objectives func() []object.Objective

// Recorder counts jobs as they end. It is safe for use by many goroutines.
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

// Ended counts a job.
func (r *Recorder) RecordJob(j Job) {
	within := 0.0
	for _, o := range r.objectives() {
		if ident.Service(o.Service) == j.Service {
			within = o.WithinIdeal
		}
	}
	if within == 0 {
		return // a service without an objective burns nothing
	}
	slow := j.Complete && j.Took > time.Duration(within*float64(j.Longest))
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.currentBucket()
	add := func(k ringKey) {
		x := r.rings[k]
		if x == nil {
			x = &ring{newest: now}
			r.rings[k] = x
		}
		c := x.bucket(now)
		c.jobs++
		if !j.Complete {
			c.incomplete++
		}
		if slow {
			c.slow++
		}
	}
	add(ringKey{j.Service, "", ""})
	for _, u := range j.Upstreams {
		add(ringKey{j.Service, "upstream", string(u)})
	}
}

func (r *Recorder) currentBucket() int64 { return r.now().UnixNano() / int64(bucketSpan) }

// Rate is the burn of one service in one window.
type Rate struct {
	Window string `json:"window"`
	Jobs   int    `json:"jobs"`
	// Complete and Fast are the burns of the two budgets.
	Complete float64 `json:"complete_burn"`
	Fast     float64 `json:"fast_burn"`
}

// Culprit is an upstream with its part of the bad jobs of the last hour.
type Contributor struct {
	Kind  string  `json:"part"`
	Name  string  `json:"name"`
	Bad   int     `json:"bad_jobs"`
	Share float64 `json:"share_of_bad_jobs"`
}

// Service is the report on one service.
type Service struct {
	Service      ident.Service `json:"service"`
	Rates        []Rate        `json:"rates"`
	Contributors []Contributor `json:"culprits"`
}

// maxCulprits bounds the culprits named for a service.
const maxContributors = 5

// Report returns the burn of every service that has an objective.
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

// burnOf is the share of bad ones over the share that is allowed.
func burnRate(bad, all int, target float64) float64 {
	if all == 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(all) / (1 - target)
}

func (r *Recorder) topContributors(s ident.Service, whole tally) []Contributor {
	out := []Contributor{}
	bad := whole.incomplete + whole.slow
	for k, x := range r.rings {
		if k.service != s || k.kind == "" {
			continue
		}
		if t := x.sum(r.currentBucket(), time.Hour); t.incomplete+t.slow > 0 {
			out = append(out, Contributor{k.kind, k.name, t.incomplete + t.slow, float64(t.incomplete+t.slow) / float64(bad)})
		}
	}
	slices.SortFunc(out, func(a, b Contributor) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(len(out), maxContributors)]
}

// Package retention says which job ids are still valid and forgets jobs by the time their ids were minted.
package retention

import (
	"slices"
	"time"

	"hillreel/internal/core/ident"
)

// bucketMs groups jobs by mint time, so that forgetting costs nothing per job kept.
const bucketMs = 1000

// Index holds the keys of the jobs that are remembered. One goroutine uses it.
type Index struct {
	life time.Duration
	now  func() time.Time
	// watermark is the latest mint time forgotten, in Unix milliseconds; it only grows, so that a clock
	// that jumps back can't reopen an id.
	watermark int64
	buckets   map[int64][]ident.Key
}

// New returns an empty Index of ids that are valid for life from their minting.
func New(life time.Duration, now func() time.Time) *Index {
	x := &Index{life: life, now: now, buckets: make(map[int64][]ident.Key)}
	x.move()
	return x
}

func (x *Index) move() {
	x.watermark = max(x.watermark, x.now().Add(-x.life).UnixMilli())
}

// Watermark returns the latest mint time forgotten, in Unix milliseconds.
func (x *Index) Watermark() int64 { return x.watermark }

// Expired tells whether ids minted at that time are no longer valid.
func (x *Index) Expired(mintedMs int64) bool { return mintedMs <= x.watermark }

// Add remembers a job.
func (x *Index) Add(mintedMs int64, key ident.Key) {
	b := mintedMs / bucketMs
	x.buckets[b] = append(x.buckets[b], key)
}

// Tick moves the watermark and hands jobs that lie wholly under it to drop, oldest first. One that drop does
// not let go comes again.
func (x *Index) Tick(drop func(ident.Key) bool) {
	x.move()
	limit := x.watermark / bucketMs
	var old []int64
	for b := range x.buckets {
		if b < limit {
			old = append(old, b)
		}
	}
	slices.Sort(old)
	for _, b := range old {
		kept := slices.DeleteFunc(x.buckets[b], drop)
		if len(kept) == 0 {
			delete(x.buckets, b)
			continue
		}
		x.buckets[b] = kept
	}
}

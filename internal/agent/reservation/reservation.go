// Package reservation decides for which entry an agent reserves room that comes free. Entries whose jobs wait leave claims; the best claim
// that fits gets room for a short time, in which its entry may use it with an ordinary order. Nothing here starts or refuses a task.
//
// A claim that doesn't fit is passed by others that do. For a large task that should have been placed by now, room gathers instead, until
// it fits or its claim ends.
package reservation

import (
	"cmp"
	"slices"
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/job"
)

const (
	// hold is how long room is reserved: a round trip between availability zones, the handling of two messages on busy VMs, and the
	// transmission of an order behind others.
	hold = 10 * time.Millisecond
	// maxReserved is how many tasks of one claim have room reserved at a time. The others wait until these have been used, so that an
	// entry that has ended holds little room.
	maxReserved = 4
	// largeShare: a task that needs more than one part of an upstream in so many is large. Room gathers only for large tasks, since it is
	// idle meanwhile.
	largeShare = 4
)

// Counts counts events since the Book was made.
type Counts struct {
	// Received counts claims. Reserved, Used and Lapsed count tasks for which room was reserved, was used by an order, and was not used
	// in time.
	Received int64 `json:"received"`
	Reserved int64 `json:"reserved"`
	Used     int64 `json:"used"`
	Lapsed   int64 `json:"lapsed"`
}

// Book holds at most one claim of each entry, and the room that is reserved for it.
type Book struct {
	// claims is sorted by rank, the best first.
	claims []*claim
	counts Counts
	// gatheringFor is the entry for whose overdue claim of a large task the room that is left gathers; zero if there is none.
	gatheringFor ident.Incarnation
	// released: room that was reserved was given up since the last Update, without being used.
	released bool
}

// claim is one entry's claim with the times converted to the agent's clock.
type claim struct {
	entry ident.Incarnation
	// tasks counts the tasks that wait, those with reserved room included. It is positive.
	tasks int
	each  job.Resources
	// begun, late and due are the rank. since is when the entry began to wait here.
	begun, late         bool
	due, since, expires time.Time
	// reserved counts the tasks for which room is reserved, at most tasks. until is when the reservation lapses.
	reserved int
	until    time.Time
}

// compare orders claims: begun jobs first, late ones last, then by the time by which the job should be placed, and by who has waited longest.
func compare(a, b *claim) int {
	return cmp.Or(
		trueFirst(a.begun, b.begun), trueFirst(b.late, a.late), a.due.Compare(b.due), a.since.Compare(b.since), cmp.Compare(a.entry, b.entry),
	)
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// New returns an empty Book.
func New() *Book { return &Book{} }

// Counts returns what has happened since the Book was made.
func (b *Book) Counts() Counts { return b.counts }

// Record replaces the claim of an entry. Room that is reserved for the entry stays reserved if the new claim is for tasks of the same
// size.
func (b *Book) Record(now time.Time, entry ident.Incarnation, c fleet.Claim) {
	b.counts.Received++
	former, released := b.find(entry), b.released
	b.Drop(entry)
	if c.Tasks == 0 || c.ValidFor <= 0 || !isSize(c.Each) {
		return
	}
	n := &claim{
		entry: entry, tasks: int(c.Tasks), each: c.Each, begun: c.Begun, late: c.Late,
		due: now.Add(c.DueIn), since: now, expires: now.Add(min(c.ValidFor, maxValid)),
	}
	if former != nil {
		n.since = former.since
	}
	if former != nil && former.each == n.each {
		n.reserved, n.until = min(former.reserved, n.tasks), former.until
	}
	b.released = released || former != nil && former.reserved > n.reserved
	b.claims = append(b.claims, n)
	slices.SortFunc(b.claims, compare)
}

// isSize reports whether a task can need so much: something, and nothing negative.
func isSize(each job.Resources) bool {
	return each != (job.Resources{}) && (job.Resources{}).Fits(each)
}

// maxValid bounds how long a claim stands, whatever its entry asks for.
const maxValid = time.Second

// Drop removes the claim of an entry and what is reserved for it.
func (b *Book) Drop(entry ident.Incarnation) {
	if c := b.find(entry); c != nil {
		b.released = b.released || c.reserved > 0
		b.claims = slices.DeleteFunc(b.claims, func(o *claim) bool { return o == c })
	}
	if b.gatheringFor == entry {
		b.gatheringFor = 0
	}
}

// find returns the claim of an entry, or nil.
func (b *Book) find(entry ident.Incarnation) *claim {
	for _, c := range b.claims {
		if c.entry == entry {
			return c
		}
	}
	return nil
}

// Update drops what has expired, and reserves room among free, the room that no run takes. total is the room of the whole upstream: claims
// that it could never hold get nothing. It returns the entries for which room was reserved, and whether room was given up or gathers no
// longer, so that others may use it.
func (b *Book) Update(now time.Time, free, total job.Resources) (granted []ident.Incarnation, released bool) {
	b.expire(now)
	left := b.keepReserved(free)
	wasGathering := b.gatheringFor
	granted = b.grant(now, left, total)
	released = b.released || wasGathering != 0 && b.gatheringFor == 0
	b.released = false
	return granted, released
}

// grant reserves the room that is left for claims in turn, the best first, one task in each round.
func (b *Book) grant(now time.Time, left, total job.Resources) (granted []ident.Incarnation) {
	b.gatheringFor = 0
	for round := 1; round <= maxReserved; round++ {
		for _, c := range b.claims {
			switch {
			case c.reserved >= min(round, c.tasks) || !c.each.Fits(total):
			case c.each.Fits(left):
				left = left.Sub(c.each)
				b.reserve(now, c)
				if !slices.Contains(granted, c.entry) {
					granted = append(granted, c.entry)
				}
			case c.reserved == 0 && !now.Before(c.due) && isLarge(c.each, total):
				b.gatheringFor = c.entry
				return granted
			}
		}
	}
	return granted
}

// isLarge reports whether a task needs so much of an upstream that the end of one or two runs rarely leaves enough for it.
func isLarge(each, total job.Resources) bool {
	return largeShare*each.CPU > total.CPU || largeShare*each.Mem > total.Mem || largeShare*each.GPU > total.GPU
}

// reserve reserves room for one more task of a claim.
func (b *Book) reserve(now time.Time, c *claim) {
	c.reserved++
	c.until = now.Add(hold)
	b.counts.Reserved++
}

// expire drops the claims that have expired, and those that let a reservation lapse: their entries don't need the room, or can't be
// reached.
func (b *Book) expire(now time.Time) {
	b.claims = slices.DeleteFunc(b.claims, func(c *claim) bool {
		lapsed := c.reserved > 0 && !now.Before(c.until)
		if lapsed {
			b.released = true
			b.counts.Lapsed += int64(c.reserved)
		}
		b.released = b.released || c.reserved > 0 && !now.Before(c.expires)
		return lapsed || !now.Before(c.expires)
	})
}

// keepReserved gives reservations up that no longer fit because room was lost, those of the worst claims first. It returns what is left
// beside the others.
func (b *Book) keepReserved(free job.Resources) (left job.Resources) {
	left = free
	for _, c := range b.claims {
		kept := 0
		for kept < c.reserved && c.each.Fits(left) {
			left = left.Sub(c.each)
			kept++
		}
		b.released = b.released || kept < c.reserved
		c.reserved = kept
	}
	return left
}

// ReservedFor returns the room that is reserved for an entry.
func (b *Book) ReservedFor(entry ident.Incarnation) job.Resources {
	if c := b.find(entry); c != nil {
		return c.room()
	}
	return job.Resources{}
}

// room returns the room that is reserved for the claim.
func (c *claim) room() job.Resources {
	var sum job.Resources
	for range c.reserved {
		sum = sum.Add(c.each)
	}
	return sum
}

// Available returns the part of free that an entry may use: all that is not reserved for others. While room gathers for another entry, it
// is what is reserved for the entry itself.
func (b *Book) Available(entry ident.Incarnation, free job.Resources) job.Resources {
	if b.gatheringFor != 0 && b.gatheringFor != entry {
		return b.ReservedFor(entry)
	}
	for _, c := range b.claims {
		if c.entry != entry {
			free = free.Sub(c.room())
		}
	}
	return free
}

// Use records that an order of an entry has started a task, which uses up room that is reserved for the entry.
func (b *Book) Use(entry ident.Incarnation) {
	c := b.find(entry)
	if c == nil || c.reserved == 0 {
		return
	}
	b.counts.Used++
	c.reserved--
	c.tasks--
	if c.tasks == 0 {
		b.Drop(entry) // its reservation is used up
	}
}

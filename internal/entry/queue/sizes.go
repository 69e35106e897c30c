package queue

import "slices"

// Sizes counts waiting tasks by the CPU that they require, in thousandths of a core. The zero value has none.
type Sizes struct {
	// sizes is sorted and holds each size once. counts holds the number of tasks of each size, at least one.
	sizes  []int64
	counts []int
}

// Add counts a task that begins to wait.
func (s *Sizes) Add(cpu int64) {
	i, found := slices.BinarySearch(s.sizes, cpu)
	if found {
		s.counts[i]++
		return
	}
	s.sizes, s.counts = slices.Insert(s.sizes, i, cpu), slices.Insert(s.counts, i, 1)
}

// Remove removes a task that was counted.
func (s *Sizes) Remove(cpu int64) {
	i, found := slices.BinarySearch(s.sizes, cpu)
	if !found {
		return
	}
	s.counts[i]--
	if s.counts[i] == 0 {
		s.sizes, s.counts = slices.Delete(s.sizes, i, i+1), slices.Delete(s.counts, i, i+1)
	}
}

// Smallest returns the CPU that the smallest task requires, and whether any task waits.
func (s *Sizes) Smallest() (cpu int64, any bool) {
	if len(s.sizes) == 0 {
		return 0, false
	}
	return s.sizes[0], true
}

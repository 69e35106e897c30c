// Package schedule runs the state machines of entries and agents against simulated upstreams, links and callers
// in random schedules with faults, and checks after each step what must always hold. It has tests only.
package schedule

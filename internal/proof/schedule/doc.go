// Package schedule tests the state machines of entries and agents against simulated upstreams, links and callers. It runs
// random schedules with faults and checks invariants after each step. It contains only tests.
package schedule

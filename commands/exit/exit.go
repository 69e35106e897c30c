// Package exit has the exit codes of every subcommand.
package exit

const (
	// OK: done.
	OK = 0
	// Failed: what was asked for did not succeed.
	Failed = 1
	// Usage: the command line or the settings are wrong.
	Usage = 2
	// Violation: an invariant was violated.
	Violation = 3
)

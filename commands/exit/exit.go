// Package exit defines the exit codes of all subcommands.
package exit

const (
	// OK means that the command succeeded.
	OK = 0
	// Failed means that the command failed.
	Failed = 1
	// Usage means that the command line or the settings are invalid.
	Usage = 2
	// Violation means that an invariant was violated.
	Violation = 3
)

// Package soak runs the real programs as separate processes on loopback, injects random faults from the outside, and checks
// hillreel's guarantees against what callers and upstreams observe. The package consists of tests only.
package soak

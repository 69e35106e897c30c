// Package soak runs the real programs as separate processes on loopback, injects faults from outside them at random,
// and checks hillreel's promises by what callers and upstreams see. It has tests only.
package soak

// Package loopback draws addresses for servers of sets that run on one machine.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
)

// Range is the first of the 64 networks 127.Range.0.0/16 from which addresses are drawn.
type Range uint32

// The ranges: one for each kind of set, so that sets of different kinds do not meet.
const (
	// Embedded is for sets inside one process.
	Embedded Range = 64
	// Processes is for sets of processes.
	Processes Range = 128
)

// Draw draws a loopback address of its own for each server. A port of 127.0.0.1 that was free a moment ago may be taken
// by then for somebody's outgoing connection. A process draws no address twice; where it begins is random, since the same
// tests may run twice at a time.
func Draw(r Range, port int) string {
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", uint32(r)+n>>15&63, n>>7&255, 1+n&127, port)
}

// drawn counts the addresses.
var addressCount = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(rand.Uint32())
	return &n
}()

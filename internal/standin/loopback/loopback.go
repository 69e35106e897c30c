// Package loopback hands out loopback addresses for the servers of test clusters that run on one machine.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
)

// Range is the second octet of the first of the 64 networks 127.Range.0.0/16 from which Draw takes addresses.
type Range uint32

// The ranges. Each kind of cluster has its own, so that clusters of different kinds never share an address.
const (
	// Embedded is for clusters that run inside one process.
	Embedded Range = 64
	// Processes is for clusters of separate processes.
	Processes Range = 128
)

// Draw returns a loopback address with the given port that this process has not drawn before. A free port of 127.0.0.1 would not do:
// the kernel may assign it to an outgoing connection before the server listens. The first address is random, because the same tests
// may run in two processes at once.
func Draw(r Range, port int) string {
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", uint32(r)+n>>15&63, n>>7&255, 1+n&127, port)
}

// addressCount numbers the addresses of this process, starting at a random value.
var addressCount = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(rand.Uint32())
	return &n
}()

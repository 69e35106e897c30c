package soak

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSubnetOfLeftoverProcessesIsSkipped guards against a cluster in a subnet where processes of an earlier run still listen: the test
// would talk to those processes, which use another store.
func TestSubnetOfLeftoverProcessesIsSkipped(t *testing.T) {
	for _, test := range []struct {
		name string
		// kind and n identify the leftover process.
		kind, n int
	}{
		{"an entry", 1, 0},
		{"an agent", 2, 0},
		{"the last agent", 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			former, next := &cluster{t: t}, &cluster{t: t}
			store := former.reserveSubnet(1, 2)
			left := former.listen(hostPort(former.ip(test.kind, test.n), portMetrics))
			defer left.Close()
			store.Close()
			claimed := next.reserveSubnet(1, 2)
			defer claimed.Close()
			qt.Assert(t, next.subnet, qt.Not(qt.Equals), former.subnet)
		})
	}
}

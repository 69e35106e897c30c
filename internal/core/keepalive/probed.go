// Package probed makes TCP connections whose silence is noticed: one that says nothing any more, without a reset, would
// otherwise be waited for as long as its user waits for an answer. The kernel sends and answers the probes; they cost the
// processes nothing.
package keepalive

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Silence is how long nothing may come over a connection before it is given up.
type Timeout time.Duration

const (
	// Brief is for connections that the platform's processes dial: they are quickly dialled anew. The kernel counts probes in
	// whole seconds, sends the first after one and looks again a second later, so that silence shows after one to two seconds.
	Short = Timeout(1500 * time.Millisecond)
	// Patient is for connections of callers: one that is cut off for some seconds still gets its answer.
	Long = Timeout(15 * time.Second)
)

// parts is how many pauses a silence has, if they are not shorter than a second.
const intervalsPerTimeout = 3

// second is the least pause between probes that the kernel takes.
const minInterval = time.Second

// Probes returns the probes that notice a silence.
func (s Timeout) Config() net.KeepAliveConfig {
	pause := max(minInterval, time.Duration(s)/intervalsPerTimeout)
	return net.KeepAliveConfig{Enable: true, Idle: pause, Interval: pause, Count: max(1, int(time.Duration(s)/pause)-1)}
}

// Control bounds the wait for acknowledgements of what was sent; it is a net.Dialer's and a net.ListenConfig's. A kernel that
// knows no such bound leaves the probes and the time-outs of calls.
func (s Timeout) Control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		//nolint:errcheck // see above
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(time.Duration(s).Milliseconds()))
	})
}

// Dialer returns a net.Dialer of connections that are given up after a silence.
func (s Timeout) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: s.Config(), Control: s.Control}
}

// Listener returns a net.ListenConfig whose connections are given up after a silence.
func (s Timeout) Listener() *net.ListenConfig {
	lc := &net.ListenConfig{KeepAliveConfig: s.Config(), Control: s.Control}
	lc.SetMultipathTCP(false) // a listener that offers it hands the bound of Control to no connection
	return lc
}

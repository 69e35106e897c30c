// Package keepalive makes TCP connections that end when the peer falls silent. A peer that disappears without a reset would otherwise
// keep its connection open for as long as the user of the connection waits for an answer. The kernel sends and answers the keep-alive
// probes, so they cost the processes nothing.
package keepalive

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeout is how long a connection may stay silent before it is closed.
type Timeout time.Duration

const (
	// Short is for connections that processes of the platform dial: they can be dialled again quickly. The kernel counts probe intervals in
	// whole seconds: it sends the first probe after one second and checks for an answer one second later. A silence is therefore noticed
	// after one to two seconds.
	Short = Timeout(1500 * time.Millisecond)
	// Long is for connections of callers: a caller that is cut off for some seconds still gets its answer.
	Long = Timeout(15 * time.Second)
)

// intervalsPerTimeout is into how many probe intervals a Timeout is divided, unless they would be shorter than minInterval.
const intervalsPerTimeout = 3

// minInterval is the shortest probe interval that the kernel accepts.
const minInterval = time.Second

// Config returns the settings of the probes that notice a silence.
func (t Timeout) Config() net.KeepAliveConfig {
	interval := max(minInterval, time.Duration(t)/intervalsPerTimeout)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: max(1, int(time.Duration(t)/interval)-1)}
}

// Control bounds how long sent data may stay unacknowledged. It has the signature of net.Dialer.Control and net.ListenConfig.Control. On a
// kernel without this option, only the probes and the timeouts of calls notice a silence.
func (t Timeout) Control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		//nolint:errcheck // the option may be missing, see above
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(time.Duration(t).Milliseconds()))
	})
}

// Dialer returns a net.Dialer whose connections end when they stay silent for the Timeout. timeout bounds dialling.
func (t Timeout) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: t.Config(), Control: t.Control}
}

// Listener returns a net.ListenConfig whose connections end when they stay silent for the Timeout.
func (t Timeout) Listener() *net.ListenConfig {
	lc := &net.ListenConfig{KeepAliveConfig: t.Config(), Control: t.Control}
	lc.SetMultipathTCP(false) // connections of a multipath listener don't inherit the socket option that Control sets
	return lc
}

// Package silence has a proxy for tests whose open connections can be made silent for good: nothing comes over them any
// more, no acknowledgement of a keep-alive probe and no end either, while new connections work.
package silence

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Proxy passes connections on.
type Proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	pairs map[*pair]bool
	// silent are the connections that are kept, since an end of theirs would be heard.
	silenced []net.Conn
}

// pair is one connection through the proxy.
type pair struct {
	client, server net.Conn

	mu       sync.Mutex
	silenced bool
}

// quiet sends no keep-alive probes of the proxy's own: the other side would take them for signs of life.
var noKeepAlive = net.ListenConfig{KeepAlive: -1}

// New listens at an address and passes connections on to another.
func New(address, to string) (*Proxy, error) {
	ln, err := noKeepAlive.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "silence: listen")
	}
	p := &Proxy{ln: ln, target: to, pairs: make(map[*pair]bool)}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

func (p *Proxy) accept() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *Proxy) serve(near net.Conn) {
	dialer := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	far, err := dialer.Dial("tcp", p.target)
	if err != nil {
		near.Close()
		return
	}
	c := &pair{client: near, server: far}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { c.copyOneWay(near, far) })
	group.Go(func() { c.copyOneWay(far, near) })
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// carry copies one direction until either side ends.
func (c *pair) copyOneWay(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !c.forward(to, buffer[:n], err) {
			return
		}
	}
}

// pass writes what was read, and ends both sides when one has ended; it tells whether there will be more. Nothing of this is
// done once the pair is silent.
func (c *pair) forward(to net.Conn, read []byte, ended error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silenced {
		return false
	}
	_, err := to.Write(read)
	if ended == nil && err == nil {
		return true
	}
	c.client.Close()
	c.server.Close()
	return false
}

// Silence makes all open connections silent for good and returns how many there were.
func (p *Proxy) Silence() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.pairs {
		c.mu.Lock()
		c.silenced = true
		c.mu.Unlock()
		p.silenced = append(p.silenced, c.client, c.server)
		if err := errors.Wrap(DropIncoming(c.client, c.server), "silence"); err != nil {
			return n, err
		}
		delete(p.pairs, c)
		n++
	}
	return n, nil
}

// Close ends the proxy and resets all its connections.
func (p *Proxy) Close() {
	p.ln.Close() //nolint:errcheck // it is closed only here
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		reset(c.client, c.server)
	}
	reset(p.silenced...)
}

// Deafen lets the kernel drop all that arrives for some TCP connections from now on, before it is acknowledged.
func DropIncoming(conns ...net.Conn) error {
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	program := unix.SockFprog{Len: 1, Filter: &drop}
	for _, c := range conns {
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return errors.Errorf("%T is no TCP connection", c)
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			return err
		}
		var failed error
		if err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
		}); err != nil {
			continue // it has just been closed
		}
		if failed != nil {
			return failed
		}
	}
	return nil
}

// reset ends connections with a reset instead of an orderly end.
func reset(conns ...net.Conn) {
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0) //nolint:errcheck // it is about to be closed
		}
		c.Close()
	}
}

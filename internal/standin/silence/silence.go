// Package silence provides a TCP proxy for tests that can silence its open connections permanently. A silenced connection delivers
// nothing more: no data, no acknowledgement of a keep-alive probe, and no FIN or RST. New connections work as usual.
package silence

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Proxy forwards TCP connections to a target address.
type Proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	pairs map[*pair]bool
	// silenced holds the silenced connections open until Close, because closing one would send a FIN or RST to its peer.
	silenced []net.Conn
}

// pair is the two halves of one proxied connection.
type pair struct {
	client, server net.Conn

	mu       sync.Mutex
	silenced bool
}

// noKeepAlive disables the proxy's own keep-alive probes: the peer would take them as a sign that the connection is alive.
var noKeepAlive = net.ListenConfig{KeepAlive: -1}

// New starts a Proxy that listens at address and forwards connections to the address to.
func New(address, to string) (*Proxy, error) {
	ln, err := noKeepAlive.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "silence: listen")
	}
	p := &Proxy{ln: ln, target: to, pairs: make(map[*pair]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

func (p *Proxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	dialer := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	server, err := dialer.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	c := &pair{client: client, server: server}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { c.copyOneWay(client, server) })
	group.Go(func() { c.copyOneWay(server, client) })
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// copyOneWay copies data in one direction until either side closes or the pair is silenced.
func (c *pair) copyOneWay(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !c.forward(to, buffer[:n], err) {
			return
		}
	}
}

// forward writes data to a connection. If the read returned an error, or if the write fails, it closes both connections. It reports
// whether copying goes on. For a silenced pair it neither writes nor closes, and returns false.
func (c *pair) forward(to net.Conn, data []byte, readErr error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silenced {
		return false
	}
	_, err := to.Write(data)
	if readErr == nil && err == nil {
		return true
	}
	c.client.Close()
	c.server.Close()
	return false
}

// Silence permanently silences all open connections and returns their number. If it cannot silence a connection, it returns
// the error and the number of connections that it has silenced before.
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

// Close stops listening and resets all connections, including the silenced ones.
func (p *Proxy) Close() {
	p.ln.Close() //nolint:errcheck // closed only here
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		reset(c.client, c.server)
	}
	reset(p.silenced...)
}

// DropIncoming makes the kernel drop every packet that arrives for the given TCP connections, before acknowledging it. It returns an
// error if a connection is not a *net.TCPConn or the kernel refuses the packet filter. A connection that is already closed is skipped.
func DropIncoming(conns ...net.Conn) error {
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	program := unix.SockFprog{Len: 1, Filter: &drop}
	for _, c := range conns {
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return errors.Errorf("not a TCP connection: %T", c)
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			return err
		}
		var failed error
		if err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
		}); err != nil {
			continue // already closed
		}
		if failed != nil {
			return failed
		}
	}
	return nil
}

// reset closes connections with a RST instead of a FIN.
func reset(conns ...net.Conn) {
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0) //nolint:errcheck // about to be closed
		}
		c.Close()
	}
}

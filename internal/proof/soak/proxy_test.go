package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on, and can hold them up, silence them in either direction, or reset them.
type proxy struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	conns map[net.Conn]bool
	delay time.Duration
	// mute holds back what goes towards the server, deaf what comes from it.
	mute, deaf bool
}

func newProxy(address, to string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, to: to, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	go p.carry(near, far, func() bool { return p.mute })
	p.carry(far, near, func() bool { return p.deaf })
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// chunkPoll is how often a silenced direction looks whether it may go on.
const chunkPoll = 5 * time.Millisecond

// carry copies one direction until either side ends.
func (p *proxy) carry(from, to net.Conn, held func() bool) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		wait, hold := p.delay, held()
		p.mu.Unlock()
		time.Sleep(wait)
		for hold {
			time.Sleep(chunkPoll)
			p.mu.Lock()
			hold = held()
			p.mu.Unlock()
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

// reset ends a connection with a reset instead of an orderly end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0) //nolint:errcheck // it is about to be closed
	}
	c.Close()
}

// set changes how connections are treated from now on.
func (p *proxy) set(delay time.Duration, mute, deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.mute, p.deaf = delay, mute, deaf
}

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	p.ln.Close()
	p.resetAll()
}

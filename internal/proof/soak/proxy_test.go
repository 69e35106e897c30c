package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"hillreel/internal/standin/silence"
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
	// silent are connections over which nothing comes any more. They are kept to the end of the set, since an end of theirs
	// would be heard.
	silent map[net.Conn]bool
}

// quiet sends no keep-alive probes: a process would take them for signs of life.
var quiet = net.ListenConfig{KeepAlive: -1}

func newProxy(address, to string) (*proxy, error) {
	ln, err := quiet.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, to: to, conns: make(map[net.Conn]bool), silent: make(map[net.Conn]bool)}
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
	dialer := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	far, err := dialer.Dial("tcp", p.to)
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
	defer p.end(from, to)
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
		if p.isSilent(from) {
			return
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

// isSilent tells whether a connection was silenced.
func (p *proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

// end closes connections, unless nobody may hear of it.
func (p *proxy) end(conns ...net.Conn) {
	for _, c := range conns {
		if !p.isSilent(c) {
			c.Close()
		}
	}
}

// silenceAll makes all open connections silent for good; new ones work.
func (p *proxy) silenceAll() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silent[c] = true
		if err := silence.Deafen(c); err != nil {
			return err
		}
	}
	clear(p.conns)
	return nil
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
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.silent {
		reset(c)
	}
}

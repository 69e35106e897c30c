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
	ln     net.Listener
	target string

	mu    sync.Mutex
	conns map[net.Conn]bool
	delay time.Duration
	// mute holds back what goes towards the server, deaf what comes from it.
	holdToServer, holdFromServer bool
	// silent are connections over which nothing comes any more. They are kept to the end of the set, since an end of theirs
	// would be heard.
	silenced map[net.Conn]bool
}

// quiet sends no keep-alive probes: a process would take them for signs of life.
var noKeepAlive = net.ListenConfig{KeepAlive: -1}

func newProxy(address, to string) (*proxy, error) {
	ln, err := noKeepAlive.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: to, conns: make(map[net.Conn]bool), silenced: make(map[net.Conn]bool)}
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
	far, err := dialer.Dial("tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	go p.copyOneWay(near, far, func() bool { return p.holdToServer })
	p.copyOneWay(far, near, func() bool { return p.holdFromServer })
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// chunkPoll is how often a silenced direction looks whether it may go on.
const holdPoll = 5 * time.Millisecond

// carry copies one direction until either side ends.
func (p *proxy) copyOneWay(from, to net.Conn, held func() bool) {
	defer p.closeUnlessSilenced(from, to)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		wait, hold := p.delay, held()
		p.mu.Unlock()
		time.Sleep(wait)
		for hold {
			time.Sleep(holdPoll)
			p.mu.Lock()
			hold = held()
			p.mu.Unlock()
		}
		if p.isSilenced(from) {
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
func (p *proxy) isSilenced(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenced[c]
}

// end closes connections, unless nobody may hear of it.
func (p *proxy) closeUnlessSilenced(conns ...net.Conn) {
	for _, c := range conns {
		if !p.isSilenced(c) {
			c.Close()
		}
	}
}

// silenceAll makes all open connections silent for good; new ones work.
func (p *proxy) silenceAll() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silenced[c] = true
		if err := silence.DropIncoming(c); err != nil {
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
func (p *proxy) setFault(delay time.Duration, mute, deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.holdToServer, p.holdFromServer = delay, mute, deaf
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
	for c := range p.silenced {
		reset(c)
	}
}

package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"hillreel/internal/standin/silence"
)

// proxy forwards TCP connections. It can delay data, hold it back in either direction, silence connections permanently, or reset them.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	conns map[net.Conn]bool
	// delay is added to each chunk of data in either direction.
	delay time.Duration
	// holdToServer holds back data towards the server, holdFromServer data from it.
	holdToServer, holdFromServer bool
	// silenced holds the silenced connections open until the cluster stops, because closing one would send a FIN or RST to its
	// peer.
	silenced map[net.Conn]bool
}

// noKeepAlive disables the proxy's own keep-alive probes: a process would take them as a sign that the connection is alive.
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
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	dialer := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	server, err := dialer.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	go p.copyOneWay(client, server, func() bool { return p.holdToServer })
	p.copyOneWay(server, client, func() bool { return p.holdFromServer })
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// holdPoll is the interval at which a direction that is held back checks whether it may continue.
const holdPoll = 5 * time.Millisecond

// copyOneWay copies data in one direction until either side closes or is silenced. held reports, under p.mu, whether the direction is
// held back.
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

// isSilenced reports whether a connection has been silenced.
func (p *proxy) isSilenced(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenced[c]
}

// closeUnlessSilenced closes the connections that have not been silenced.
func (p *proxy) closeUnlessSilenced(conns ...net.Conn) {
	for _, c := range conns {
		if !p.isSilenced(c) {
			c.Close()
		}
	}
}

// silenceAll permanently silences all open connections. New connections work as usual.
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

// reset closes a connection with a RST instead of a FIN.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0) //nolint:errcheck // about to be closed
	}
	c.Close()
}

// setFault replaces the faults of all present and future connections: the delay, and the directions that are held back.
func (p *proxy) setFault(delay time.Duration, holdToServer, holdFromServer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.holdToServer, p.holdFromServer = delay, holdToServer, holdFromServer
}

// resetAll resets all connections that have not been silenced.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// close stops listening and resets all connections, including the silenced ones.
func (p *proxy) close() {
	p.ln.Close()
	p.resetAll()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.silenced {
		reset(c)
	}
}

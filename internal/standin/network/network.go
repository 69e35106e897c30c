// Package network puts delays and cuts between processes that talk over loopback, for the load tool and
// tests. Data keeps its order and its bandwidth; it only arrives later.
package network

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// chunk is the largest piece that is delayed as one, in bytes.
const chunk = 64 << 10

// backlog is how many pieces may be under way in one direction.
const backlog = 4096

type piece struct {
	data []byte
	due  time.Time
}

// conn delays both directions of a connection.
type conn struct {
	net.Conn
	delay time.Duration
	in    chan piece
	out   chan piece
	rest  []byte
	ended chan struct{}
	once  sync.Once
	mu    sync.Mutex
	err   error
}

// Delay wraps a connection so that each direction takes delay longer.
func Delay(c net.Conn, delay time.Duration) net.Conn {
	d := &conn{
		Conn: c, delay: delay, in: make(chan piece, backlog), out: make(chan piece, backlog), ended: make(chan struct{}),
		err: net.ErrClosed,
	}
	go d.receive()
	go d.send()
	return d
}

func (c *conn) receive() {
	defer close(c.in)
	for {
		buf := make([]byte, chunk)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			select {
			case c.in <- piece{buf[:n], time.Now().Add(c.delay)}:
			case <-c.ended:
				return
			}
		}
		if err != nil {
			c.mu.Lock()
			c.err = err
			c.mu.Unlock()
			return
		}
	}
}

func (c *conn) send() {
	for {
		select {
		case p := <-c.out:
			time.Sleep(time.Until(p.due))
			if _, err := c.Conn.Write(p.data); err != nil {
				c.Close()
				return
			}
		case <-c.ended:
			return
		}
	}
}

// Read returns data once its delay has passed.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		p, ok := <-c.in
		if !ok {
			c.mu.Lock()
			defer c.mu.Unlock()
			return 0, c.err
		}
		time.Sleep(time.Until(p.due))
		c.rest = p.data
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write returns at once; the data leaves after the delay.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case c.out <- piece{append([]byte(nil), b...), time.Now().Add(c.delay)}:
		return len(b), nil
	case <-c.ended:
		return 0, net.ErrClosed
	}
}

// Close ends both directions at once.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// Network knows which places are cut off.
type Network struct {
	mu    sync.Mutex
	cut   map[string]bool
	conns map[net.Conn][2]string
}

// New returns a network without cuts.
func New() *Network {
	return &Network{cut: make(map[string]bool), conns: make(map[net.Conn][2]string)}
}

// Dial connects two places with a delay each way; a place that is cut off reaches only itself.
func (n *Network) Dial(from, to, address string, timeout, delay time.Duration) (net.Conn, error) {
	n.mu.Lock()
	cut := from != to && (n.cut[from] || n.cut[to])
	n.mu.Unlock()
	if cut {
		return nil, errors.Errorf("network: %s and %s are cut off from each other", from, to)
	}
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	if delay > 0 {
		c = Delay(c, delay)
	}
	n.mu.Lock()
	n.conns[c] = [2]string{from, to}
	n.mu.Unlock()
	return c, nil
}

// Cut cuts a place off from the others, or heals it.
func (n *Network) Cut(place string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[place] = on
	for c, ends := range n.conns {
		if on && ends[0] != ends[1] && (ends[0] == place || ends[1] == place) {
			c.Close()
			delete(n.conns, c)
		}
	}
}

package main

import (
	"net"
	"sync"
)

// path is a machine's path to the store, which can be cut. A cut is silent: bytes that are sent meanwhile are held up, and get through once
// it has healed unless their sender has closed the connection.
type path struct {
	address, target string

	mu     sync.Mutex
	healed *sync.Cond
	isCut  bool
}

// newPath returns an open path to a target.
func newPath(target string) (*path, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{address: ln.Addr().String(), target: target}
	p.healed = sync.NewCond(&p.mu)
	go p.accept(ln)
	return p, nil
}

// setCut cuts the path or heals it.
func (p *path) setCut(cut bool) {
	p.mu.Lock()
	p.isCut = cut
	p.mu.Unlock()
	p.healed.Broadcast()
}

// await returns once the path is not cut.
func (p *path) await() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut {
		p.healed.Wait()
	}
}

func (p *path) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve forwards one connection until either side closes it.
func (p *path) serve(c net.Conn) {
	p.await()
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close() //nolint:errcheck // nothing was forwarded
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(d, c) })
	both.Go(func() { p.copy(c, d) })
	both.Wait()
}

// copy forwards bytes in one direction while the path is not cut.
func (p *path) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

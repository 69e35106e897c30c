package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/core/fleet"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// idleTimeout is how long a session without queries is kept, so that a series of queries shares it.
const idleTimeout = 10 * time.Second

// conn is a session on which queries are sent.
type conn struct {
	session *session.Session
	// idle closes the session.
	idle *time.Timer
	// ended is closed when the session has ended.
	ended chan struct{}

	mu sync.Mutex
	// lastNumber is the number of the newest query. replies holds the channels for the replies that are outstanding, by number.
	lastNumber uint64
	replies    map[uint64]chan fleet.JobReply
}

// newConn returns a conn for a new session.
func newConn(s *session.Session) *conn {
	return &conn{
		session: s, idle: time.AfterFunc(idleTimeout, s.Close), ended: make(chan struct{}), replies: make(map[uint64]chan fleet.JobReply),
	}
}

// ask sends a query and waits for the reply, at most for limit.
func (c *conn) ask(ctx context.Context, q fleet.JobQuery, limit time.Duration) (fleet.JobReply, error) {
	c.idle.Reset(idleTimeout)
	number, reply := c.expectReply()
	defer c.forget(number)
	c.session.Send(codec.JobQuery(number, q))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r := <-reply:
		return r, nil
	case <-c.ended:
		return fleet.JobReply{}, errors.New("peer: the session has ended")
	case <-ctx.Done():
		return fleet.JobReply{}, ctx.Err()
	case <-timer.C:
		return fleet.JobReply{}, errors.Errorf("peer: no reply within %v", limit)
	}
}

// expectReply returns the number of the next query and the channel for its reply.
func (c *conn) expectReply() (uint64, <-chan fleet.JobReply) {
	reply := make(chan fleet.JobReply, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	c.replies[c.lastNumber] = reply
	return c.lastNumber, reply
}

// forget stops waiting for the reply to a query.
func (c *conn) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replies, number)
}

// receive delivers replies until the session ends, and returns the error that ended it.
func (c *conn) receive() error {
	defer close(c.ended)
	defer c.idle.Stop()
	return c.session.Receive(func(msgs []*wire.Msg) {
		for _, m := range msgs {
			if r := m.GetJobReply(); r != nil {
				c.deliver(codec.ReadJobReply(r))
			}
		}
	})
}

// deliver passes a reply to the caller that waits for it. A reply that comes too late is dropped.
func (c *conn) deliver(number uint64, r fleet.JobReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply := c.replies[number]; reply != nil {
		delete(c.replies, number)
		reply <- r
	}
}

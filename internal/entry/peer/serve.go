package peer

import (
	"time"

	"hillreel/internal/core/fleet"
	"hillreel/internal/link/codec"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// serveTimeout is how long a session without queries is served. The asking entry closes it earlier, unless it was lost.
const serveTimeout = 2 * idleTimeout

// Serve replies to the queries of another entry until the session ends, and returns the error that ended it. It calls answer for each query
// on a new goroutine.
func Serve(s *session.Session, answer func(fleet.JobQuery) fleet.JobReply) error {
	idle := time.AfterFunc(serveTimeout, s.Close)
	defer idle.Stop()
	return s.Receive(func(msgs []*wire.Msg) {
		idle.Reset(serveTimeout)
		for _, m := range msgs {
			if q := m.GetJobQuery(); q != nil {
				number, query := codec.ReadJobQuery(q)
				go func() { s.Send(codec.JobReply(number, answer(query))) }()
			}
		}
	})
}

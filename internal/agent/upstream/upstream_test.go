package upstream_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/agent/ledger"
	"hillreel/internal/agent/upstream"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
)

func newClient(address string) *upstream.Client {
	return upstream.New(upstream.Options{
		Address: ident.Address(address), Connections: 4, ConnectTimeout: time.Second, TaskTimeout: 2 * time.Second,
		AnswerLimit: 10,
	})
}

var someTask = ledger.Task{Key: ident.Key{Owner: 1, Seq: 2}, Service: "publish", Kind: "feed", Payload: []byte(`{}`)}

func TestVerdicts(t *testing.T) {
	for _, test := range []struct {
		name    string
		serve   http.HandlerFunc
		verdict verdict.Verdict
		reason  verdict.Reason
		ok      bool
	}{
		{"success", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("fine")) }, verdict.Ran, "", true},
		{"failure", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, verdict.Ran, verdict.TaskFailed, false},
		{"answer too large", func(w http.ResponseWriter, _ *http.Request) {
			w.Write(make([]byte, 11))
		}, verdict.Ran, verdict.TooLarge, false},
		{"refused by the upstream's word", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Hillreel-Verdict", "not_run")
			w.WriteHeader(503)
		}, verdict.NotRun, verdict.UpstreamRefused, false},
		{"busy without a word", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, verdict.Ran, verdict.TaskFailed, false},
		{"connection cut after reading", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, verdict.MayHaveRun, verdict.UpstreamLost, false},
		{"answer cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "8")
			w.Write([]byte("fine"))
			panic(http.ErrAbortHandler)
		}, verdict.MayHaveRun, verdict.UpstreamLost, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				test.serve(w, r)
			}))
			defer s.Close()
			o := newClient(s.Listener.Addr().String()).Run(context.Background(), someTask)
			qt.Assert(t, o.Verdict, qt.Equals, test.verdict)
			qt.Assert(t, o.Reason, qt.Equals, test.reason)
			qt.Assert(t, o.OK, qt.Equals, test.ok)
			qt.Assert(t, calls.Load(), qt.Equals, int32(1), qt.Commentf("the transport must not send again"))
		})
	}
}

func TestNobodyListens(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ln.Close()
	o := newClient(ln.Addr().String()).Run(context.Background(), someTask)
	qt.Assert(t, o.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, o.Reason, qt.Equals, verdict.ConnectFailed)
}

// TestIdleConnectionClosed: the upstream closes the connection that the next task would use. Go's transport
// would send some requests again here; a task must reach the upstream once at most, and the verdict must
// say so.
func TestIdleConnectionClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	var requests atomic.Int32
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buf := make([]byte, 4096)
				if n, _ := conn.Read(buf); n == 0 {
					return
				}
				requests.Add(1)
				conn.Write([]byte(answer))
				// The next request on this connection is read, and the connection closed unanswered.
				if n, _ := conn.Read(buf); n > 0 {
					requests.Add(1)
				}
			}()
		}
	}()
	c := newClient(ln.Addr().String())
	qt.Assert(t, c.Run(context.Background(), someTask).Verdict, qt.Equals, verdict.Ran)
	o := c.Run(context.Background(), someTask)
	qt.Assert(t, requests.Load(), qt.Equals, int32(2))
	qt.Assert(t, o.Verdict, qt.Equals, verdict.MayHaveRun)
}

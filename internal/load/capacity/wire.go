package capacity

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"hillreel/internal/config/object"
	"hillreel/internal/config/state"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/session"
	"hillreel/internal/link/wire"
)

// pairs opens n sessions over loopback and returns both ends.
func pairs(n int) (near, far []*session.Session, closeAll func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, nil, errors.Wrap(err, "capacity")
	}
	accepted := make(chan *session.Session, n)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				if s, err := session.Accept(conn, &wire.Hello{}); err == nil {
					accepted <- s
				}
			}()
		}
	}()
	for range n {
		s, err := session.Dial(session.TCP, ln.Addr().String(), time.Second, &wire.Hello{})
		if err != nil {
			return nil, nil, nil, err
		}
		go s.Receive(func([]*wire.Msg) {}) //nolint:errcheck // it ends with the session
		other := <-accepted
		near, far = append(near, s), append(far, other)
	}
	return near, far, func() {
		ln.Close()
		for i := range near {
			near[i].Close()
			far[i].Close()
		}
	}, nil
}

func linkMemory() (Slope, error) {
	s := Slope{Name: "link_memory", What: "memory of both ends of an idle link", Unit: "B/link"}
	return at(s, []int{25, 50, 100, 200}, func(n int) (float64, error) {
		before := heap()
		_, _, closeAll, err := pairs(n)
		if err != nil {
			return 0, err
		}
		defer closeAll()
		return heap() - before, nil
	})
}

func linkIdle() (Slope, error) {
	s := Slope{Name: "link_idle", What: "processor time of both ends of an idle link", Unit: "ns/s/link"}
	return at(s, []int{50, 100, 200, 400}, func(n int) (float64, error) {
		_, _, closeAll, err := pairs(n)
		if err != nil {
			return 0, err
		}
		defer closeAll()
		const span = 2 * time.Second
		before := cpu()
		time.Sleep(span)
		return float64(cpu()-before) / span.Seconds(), nil
	})
}

func startMsg() *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Start{Start: &wire.Start{
		Key: ident.Key{Owner: owner, Seq: 1 << 20}.Wire(), MintedMs: time.Now().UnixMilli(), Gen: ident.OwnerGeneration(owner).Wire(),
		Agent: 1 << 60, Index: 5, Count: tasksPerJob, Attempt: 1, Service: string(service), TaskKind: "ad_slot",
		BodyDigest: make([]byte, 16), Payload: make([]byte, answerSize),
	}}}
}

func resultMsg() *wire.Msg {
	return &wire.Msg{Kind: &wire.Msg_Result{Result: &wire.Result{
		Key: ident.Key{Owner: owner, Seq: 1 << 20}.Wire(), Index: 5, Attempt: 1, Verdict: string(verdict.Ran), Ok: true,
		Status: 200, RunMs: 200, Answer: make([]byte, answerSize),
	}}}
}

func messageTime() (Slope, error) {
	s := Slope{Name: "message_time", What: "processor time of a start over a link, both ends and the kernel", Unit: "ns/message"}
	near, far, closeAll, err := pairs(1)
	if err != nil {
		return s, err
	}
	defer closeAll()
	got := make(chan int, 1024)
	go far[0].Receive(func(msgs []*wire.Msg) { got <- len(msgs) }) //nolint:errcheck // it ends with the session
	m := startMsg()
	return at(s, []int{20_000, 40_000, 80_000, 160_000}, func(n int) (float64, error) {
		before := cpu()
		go func() {
			for range n {
				near[0].Send(m)
			}
		}()
		for left := n; left > 0; {
			left -= <-got
		}
		return float64(cpu() - before), nil
	})
}

func taskBytes() (Slope, error) {
	s := Slope{Name: "task_bytes", What: "bytes of start, result and acknowledgement, by payload and answer", Unit: "B/B"}
	return at(s, []int{0, 64, 256, 1024}, func(n int) (float64, error) {
		start, result := startMsg(), resultMsg()
		start.GetStart().Payload, result.GetResult().Answer = make([]byte, n/2), make([]byte, n/2)
		ack := &wire.AckItem{Key: start.GetStart().GetKey(), Index: 5}
		return float64(proto.Size(start) + proto.Size(result) + proto.Size(ack)), nil
	})
}

func rosterBytes() (Slope, error) {
	s := Slope{Name: "roster_bytes", What: "bytes of a roster, by its agents", Unit: "B/agent"}
	return at(s, []int{50, 100, 200, 400, 700}, func(n int) (float64, error) {
		r := &wire.Roster{Digest: make([]byte, 16)}
		for i := range n {
			r.Members = append(r.Members, &wire.Member{Upstream: fmt.Sprintf("upstream-%d", i), Incarnation: uint64(i) << 40, Address: "10.100.100.100:7400"})
		}
		return float64(proto.Size(r)), nil
	})
}

// states returns a state of n objects and the one after a change.
func states(n int) (before, after *state.State) {
	var objects []object.Object
	for i := range n {
		objects = append(objects, object.Object{
			Ref: object.Ref{Kind: object.KindUpstream, Name: object.Name(fmt.Sprintf("upstream-%d", i))}, Version: uint64(i + 1),
			Spec: json.RawMessage(`{"labels":{"tier":"fast","rack":"rack-17"}}`),
		})
	}
	before = state.New(ident.ConfigVersion(n), objects)
	objects[0].Version = uint64(n + 1)
	return before, state.New(ident.ConfigVersion(n+1), objects)
}

func snapshotBytes() (Slope, error) {
	s := Slope{Name: "snapshot_bytes", What: "bytes of a full snapshot of configuration, by objects", Unit: "B/object"}
	return at(s, []int{500, 1000, 2000, 4000}, func(n int) (float64, error) {
		st, _ := states(n)
		raw, err := json.Marshal(st.Full())
		return float64(len(raw)), err
	})
}

func snapshotTime() (Slope, error) {
	s := Slope{Name: "delta_time", What: "time to apply a delta of one object, by objects", Unit: "ns/object"}
	return at(s, []int{500, 1000, 2000, 4000}, func(n int) (float64, error) {
		before, after := states(n)
		d := after.Since(before)
		begin := time.Now()
		_, err := before.Apply(d)
		return float64(time.Since(begin)), err
	})
}

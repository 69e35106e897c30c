package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/agent/ledger"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/job"
	"hillreel/internal/link/wire"
	"hillreel/internal/policy/estimate"
	"hillreel/internal/policy/order"
	"hillreel/internal/policy/placement"
)

const (
	owner   = ident.Incarnation(1)
	service = ident.Service("publish")
	// tasksPerJob is a usual job's length.
	tasksPerJob = 10
	// answerSize is a usual answer's length in bytes.
	answerSize = 64
	never      = 24 * time.Hour
	// maxRoster is the default of the settings.
	maxRoster = 64
)

// silent takes the ledger's messages and tasks, and keeps nothing.
type silent struct{ ran []ledger.Task }

// Send drops the message.
func (s *silent) Send(ident.Incarnation, *wire.Msg) {}

// Run notes the task.
func (s *silent) Run(t ledger.Task) { s.ran = append(s.ran, t) }

// fillLedger runs n tasks to their end.
func fillLedger(n int) *ledger.Ledger {
	s := &silent{}
	l := ledger.New(ledger.Options{
		Incarnation: 2, Slots: 64, QueueLimit: 64, Retention: never, AnswerGrace: never, AnswerBytes: 1 << 30, Now: time.Now,
	}, s, s)
	l.LinkUp(owner, 1)
	minted := time.Now().UnixMilli()
	for i := range n {
		key := ident.Key{Owner: owner, Seq: uint64(i / tasksPerJob)}
		l.Handle(owner, 1, &wire.Msg{Kind: &wire.Msg_Start{Start: &wire.Start{
			Key: key.Wire(), MintedMs: minted, Gen: ident.OwnerGeneration(owner).Wire(), Agent: 2,
			Index: uint32(i % tasksPerJob), Count: tasksPerJob, Attempt: 1, Service: string(service), BodyDigest: make([]byte, 16),
		}}})
		t := s.ran[len(s.ran)-1]
		s.ran = s.ran[:0]
		l.Ended(t.Key, t.Index, ledger.Outcome{Verdict: verdict.Ran, OK: true, Answer: make([]byte, answerSize)})
	}
	return l
}

func agentMemory() (Slope, error) {
	s := Slope{Name: "agent_memory", What: "agent: memory of a started task's record, answer of 64 B kept", Unit: "B/task"}
	return at(s, []int{10_000, 20_000, 40_000, 80_000}, func(n int) (float64, error) {
		before := heap()
		l := fillLedger(n)
		used := heap() - before
		runtime.KeepAlive(l)
		return used, nil
	})
}

func agentTime() (Slope, error) {
	s := Slope{Name: "agent_time", What: "agent: control time of a task, without link and upstream", Unit: "ns/task"}
	return at(s, []int{20_000, 40_000, 80_000, 160_000}, func(n int) (float64, error) {
		begin := time.Now()
		fillLedger(n)
		return float64(time.Since(begin)), nil
	})
}

// agents answers every start at once.
type agents struct {
	table   *job.Table
	pending []*wire.Start
	asked   []*wire.Seal
	to      []ident.Incarnation
	sealed  []ident.Incarnation
}

// ToAgent queues what the table wants of an agent.
func (a *agents) ToAgent(to ident.Incarnation, m *wire.Msg) {
	switch k := m.GetKind().(type) {
	case *wire.Msg_Start:
		a.pending = append(a.pending, k.Start)
		a.to = append(a.to, to)
	case *wire.Msg_Seal:
		a.asked = append(a.asked, k.Seal)
		a.sealed = append(a.sealed, to)
	case *wire.Msg_Roster:
		a.table.FromAgent(to, 1, &wire.Msg{Kind: &wire.Msg_RosterAck{RosterAck: &wire.RosterAck{Digest: k.Roster.GetDigest()}}})
	}
}

// ToPeer drops the message.
func (a *agents) ToPeer(ident.Incarnation, *wire.Msg) {}

// answer ends all that was started.
func (a *agents) answer() {
	for len(a.pending) > 0 {
		starts, to := a.pending, a.to
		a.pending, a.to = nil, nil
		for i, s := range starts {
			a.table.FromAgent(to[i], 1, &wire.Msg{Kind: &wire.Msg_Result{Result: &wire.Result{
				Key: s.GetKey(), Index: s.GetIndex(), Attempt: s.GetAttempt(), Verdict: string(verdict.Ran), Ok: true,
				RunMs: 200, Answer: make([]byte, answerSize),
			}}})
		}
	}
}

// newTable returns a table with n agents of 8 slots, in rosters of about so many.
func newTable(n, rosterSize int, self ident.Incarnation, signer *ident.Signer) (*job.Table, *agents) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := &agents{}
	t := job.New(job.Options{
		Self: self, Address: "127.0.0.1:1", Zone: "zone-1", Region: "region-1", Signer: signer,
		Retention: never, AnswerWait: time.Second, SuspectAfter: time.Second, GoneAfter: time.Millisecond,
		QueueLimit: 1 << 30, AnswerBytes: 1 << 30, Now: time.Now, Order: order.New(order.Slack, 0),
		LongestFirst: true, Estimate: estimate.New(true), Guard: true, MaxWait: never, MaxRoster: rosterSize, Log: logrus.NewEntry(log),
	}, a, placement.New(placement.LeastLoaded, 1))
	a.table = t
	for i := range n {
		t.AgentUp(&wire.Hello{
			Role: "agent", Name: fmt.Sprintf("upstream-%d", i), Incarnation: uint64(100 + i), Slots: 8, Services: []string{string(service)},
			Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Zone: "zone-1",
		}, 1)
	}
	return t, a
}

func newSigner() (*ident.Signer, error) { return ident.NewSigner([]byte("capacity-mac-key")) }

var spec = func() *wire.JobSpec {
	s := &wire.JobSpec{Service: string(service), Team: "team"}
	for range tasksPerJob {
		s.Tasks = append(s.Tasks, &wire.TaskSpec{Kind: "feed", Payload: make([]byte, answerSize)})
	}
	return s
}()

// runJobs submits jobs until n tasks have run.
func runJobs(t *job.Table, a *agents, n int) error {
	for range n / tasksPerJob {
		ids, err := t.Mint(service, 1)
		if err != nil {
			return err
		}
		t.Do(job.Request{ID: ids[0], Op: job.OpSubmit, Spec: spec, Answer: func(*wire.Answer) {}})
		a.answer()
	}
	return nil
}

func entryTime() (Slope, error) {
	s := Slope{Name: "entry_time", What: "entry: control time of a task with 100 agents, without links and HTTP", Unit: "ns/task"}
	signer, err := newSigner()
	if err != nil {
		return s, err
	}
	return at(s, []int{10_000, 20_000, 40_000, 80_000}, func(n int) (float64, error) {
		t, a := newTable(100, maxRoster, owner, signer)
		begin := time.Now()
		err := runJobs(t, a, n)
		return float64(time.Since(begin)), err
	})
}

func entryTimeByRoster() (Slope, error) {
	s := Slope{Name: "entry_time_by_agents", What: "entry: control time of a task, by the number of agents", Unit: "ns/task/agent"}
	signer, err := newSigner()
	if err != nil {
		return s, err
	}
	const tasks = 5000
	return at(s, []int{50, 100, 200, 400, 700}, func(n int) (float64, error) {
		t, a := newTable(n, maxRoster, owner, signer)
		begin := time.Now()
		err := runJobs(t, a, tasks)
		return float64(time.Since(begin)) / tasks, err
	})
}

func entryMemory() (Slope, error) {
	s := Slope{Name: "entry_memory", What: "entry: memory of an ended job of 10 tasks, answers of 64 B kept", Unit: "B/job"}
	signer, err := newSigner()
	if err != nil {
		return s, err
	}
	return at(s, []int{2_000, 4_000, 8_000, 16_000}, func(n int) (float64, error) {
		t, a := newTable(100, maxRoster, owner, signer)
		before := heap()
		err := runJobs(t, a, n*tasksPerJob)
		used := heap() - before
		runtime.KeepAlive(t)
		return used, err
	})
}

func sealTime() (Slope, error) {
	s := Slope{Name: "seal_time", What: "adopter: control time of sealing a job, by the agents of its roster", Unit: "ns/agent"}
	signer, err := newSigner()
	if err != nil {
		return s, err
	}
	const jobs = 50
	return at(s, []int{50, 100, 200, 400, 700}, func(n int) (float64, error) {
		old, _ := newTable(n, n, owner, signer)
		ids, err := old.Mint(service, jobs)
		if err != nil {
			return 0, err
		}
		t, a := newTable(n, n, owner+1, signer)
		time.Sleep(2 * time.Millisecond) // an owner that was never linked is gone after GoneAfter
		begin := time.Now()
		for _, id := range ids {
			t.Do(job.Request{ID: id, Op: job.OpSubmit, Spec: spec, Answer: func(*wire.Answer) {}})
			asked, to := a.asked, a.sealed
			a.asked, a.sealed = nil, nil
			for i, x := range asked {
				t.FromAgent(to[i], 1, &wire.Msg{Kind: &wire.Msg_Sealed{Sealed: &wire.Sealed{Key: x.GetKey(), Gen: x.GetGen()}}})
			}
			a.answer()
		}
		return float64(time.Since(begin)) / jobs, nil
	})
}

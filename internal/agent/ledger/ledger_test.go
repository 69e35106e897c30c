package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/verdict"
	"hillreel/internal/link/wire"
)

const (
	self    = ident.Incarnation(100)
	owner   = ident.Incarnation(1)
	adopter = ident.Incarnation(2)
)

// fixture is a ledger with one slot, one place in the queue, and links to an owner and an adopter.
type fixture struct {
	*Ledger
	now  time.Time
	sent map[ident.Incarnation][]*wire.Msg
	ran  []Task
}

// Send is for the ledger.
func (f *fixture) Send(to ident.Incarnation, m *wire.Msg) { f.sent[to] = append(f.sent[to], m) }

// Run is for the ledger.
func (f *fixture) Run(t Task) { f.ran = append(f.ran, t) }

func newFixture() *fixture {
	invariant.SetFatal(true)
	f := &fixture{now: time.Unix(1_700_000_000, 0), sent: make(map[ident.Incarnation][]*wire.Msg)}
	f.Ledger = New(Options{
		Incarnation: self, Slots: 1, QueueLimit: 1, Retention: time.Minute, AnswerGrace: time.Second,
		AnswerBytes: 64, Now: func() time.Time { return f.now },
	}, f, f)
	f.LinkUp(owner, 1)
	f.LinkUp(adopter, 1)
	f.sent = make(map[ident.Incarnation][]*wire.Msg)
	return f
}

var key = ident.Key{Owner: owner, Seq: 7}

func (f *fixture) minted() int64 { return time.Unix(1_700_000_000, 0).UnixMilli() }

func (f *fixture) start(from ident.Incarnation, counter, index, attempt uint32) *wire.Start {
	return &wire.Start{
		Key: key.Wire(), MintedMs: f.minted(), Gen: ident.Generation{Counter: counter, Holder: from}.Wire(),
		Agent: uint64(self), Index: index, Count: 3, Attempt: attempt,
	}
}

func (f *fixture) handle(from ident.Incarnation, m any) {
	msg := &wire.Msg{}
	switch m := m.(type) {
	case *wire.Start:
		msg.Kind = &wire.Msg_Start{Start: m}
	case *wire.Seal:
		msg.Kind = &wire.Msg_Seal{Seal: m}
	case *wire.Record:
		msg.Kind = &wire.Msg_Record{Record: m}
	case *wire.Withdraw:
		msg.Kind = &wire.Msg_Withdraw{Withdraw: m}
	}
	f.Handle(from, 1, msg)
}

func (f *fixture) seal(from ident.Incarnation, counter uint32) {
	f.handle(from, &wire.Seal{
		Key: key.Wire(), MintedMs: f.minted(), Gen: ident.Generation{Counter: counter, Holder: from}.Wire(),
	})
}

// last returns the newest message to an entry.
func (f *fixture) last(to ident.Incarnation) *wire.Msg {
	if len(f.sent[to]) == 0 {
		return nil
	}
	return f.sent[to][len(f.sent[to])-1]
}

// reason returns the reason of the newest message to an entry, which must be a not_run.
func (f *fixture) reason(to ident.Incarnation) verdict.Reason {
	r := f.last(to).GetResult()
	if r.GetVerdict() != string(verdict.NotRun) {
		return ""
	}
	return verdict.Reason(r.GetReason())
}

func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(f *fixture)
		want verdict.Reason
		runs int
	}{
		{"another incarnation's start", func(f *fixture) {
			s := f.start(owner, 1, 0, 1)
			s.Agent = 101
			f.handle(owner, s)
		}, verdict.WrongIncarnation, 0},
		{"queue full", func(f *fixture) {
			for i := range uint32(3) {
				f.handle(owner, f.start(owner, 1, i, 1))
			}
		}, verdict.QueueFull, 1},
		{"leaving", func(f *fixture) {
			f.Leave()
			f.handle(owner, f.start(owner, 1, 0, 1))
		}, verdict.AgentLeaving, 0},
		{"queued when it leaves", func(f *fixture) {
			f.handle(owner, f.start(owner, 1, 0, 1))
			f.handle(owner, f.start(owner, 1, 1, 1))
			f.Leave()
		}, verdict.AgentLeaving, 1},
		{"cordoned", func(f *fixture) {
			f.SetAllow(func(ident.Service) bool { return false })
			f.handle(owner, f.start(owner, 1, 0, 1))
		}, verdict.Cordoned, 0},
		{"queued when it is cordoned", func(f *fixture) {
			f.handle(owner, f.start(owner, 1, 0, 1))
			f.handle(owner, f.start(owner, 1, 1, 1))
			f.SetAllow(func(ident.Service) bool { return false })
		}, verdict.Cordoned, 1},
		{"asked about what never arrived", func(f *fixture) {
			s := f.start(owner, 1, 0, 1)
			s.Ask = true
			f.handle(owner, s)
		}, verdict.NeverArrived, 0},
		{"upstream refused the connection", func(f *fixture) {
			f.handle(owner, f.start(owner, 1, 0, 1))
			f.Ended(key, 0, Outcome{Verdict: verdict.NotRun, Reason: verdict.ConnectFailed})
		}, verdict.ConnectFailed, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.do(f)
			qt.Assert(t, f.reason(owner), qt.Equals, test.want)
			qt.Assert(t, f.ran, qt.HasLen, test.runs)
		})
	}
}

func TestStartedOnce(t *testing.T) {
	f := newFixture()
	f.handle(owner, f.start(owner, 1, 0, 1))
	f.handle(owner, f.start(owner, 1, 0, 1))
	f.Ended(key, 0, Outcome{Verdict: verdict.Ran, OK: true, Answer: []byte("a")})
	first := f.last(owner)
	f.handle(owner, f.start(owner, 1, 0, 2))
	qt.Assert(t, f.ran, qt.HasLen, 1)
	qt.Assert(t, f.last(owner).GetResult(), qt.Equals, first.GetResult())
}

func TestOldGenerationIsFenced(t *testing.T) {
	f := newFixture()
	f.handle(owner, f.start(owner, 1, 0, 1))
	f.handle(owner, f.start(owner, 1, 1, 1))
	f.seal(adopter, 2)
	sealed := f.last(adopter).GetSealed()
	qt.Assert(t, sealed.GetRunning(), qt.HasLen, 1, qt.Commentf("the queued task is withdrawn"))
	qt.Assert(t, f.last(owner).GetFenced().GetNewest().GetCounter(), qt.Equals, uint32(2))

	for _, late := range []any{
		f.start(owner, 1, 2, 1),
		&wire.Record{Key: key.Wire(), MintedMs: f.minted(), Gen: ident.OwnerGeneration(owner).Wire(), Decision: &wire.Decision{}},
		&wire.Withdraw{Key: key.Wire(), MintedMs: f.minted(), Gen: ident.OwnerGeneration(owner).Wire()},
	} {
		f.sent[owner] = nil
		f.handle(owner, late)
		qt.Assert(t, f.last(owner).GetFenced(), qt.IsNotNil, qt.Commentf("%T", late))
	}
	f.sent[owner] = nil
	f.Ended(key, 0, Outcome{Verdict: verdict.Ran, OK: true})
	qt.Assert(t, f.last(adopter).GetResult().GetOk(), qt.IsTrue)
	qt.Assert(t, f.sent[owner], qt.HasLen, 0, qt.Commentf("results go to the newest generation only"))
	qt.Assert(t, f.ran, qt.HasLen, 1)
}

func TestOfTwoAdoptersTheHigherGenerationWins(t *testing.T) {
	f := newFixture()
	f.seal(adopter, 2)
	f.seal(owner, 2)
	qt.Assert(t, f.last(owner).GetFenced(), qt.IsNotNil)
	f.seal(owner, 3)
	qt.Assert(t, f.last(owner).GetSealed(), qt.IsNotNil)
}

func TestFirstDecisionStays(t *testing.T) {
	f := newFixture()
	record := func(from ident.Incarnation, counter uint32, reason string) string {
		f.handle(from, &wire.Record{
			Key: key.Wire(), MintedMs: f.minted(), Gen: ident.Generation{Counter: counter, Holder: from}.Wire(),
			Decision: &wire.Decision{Reason: reason},
		})
		return f.last(from).GetRecorded().GetDecision().GetReason()
	}
	qt.Assert(t, record(owner, 1, "first"), qt.Equals, "first")
	f.seal(adopter, 2)
	qt.Assert(t, f.last(adopter).GetSealed().GetDecision().GetReason(), qt.Equals, "first")
	qt.Assert(t, record(adopter, 2, "second"), qt.Equals, "first")
	f.handle(adopter, f.start(adopter, 2, 0, 1))
	qt.Assert(t, f.ran, qt.HasLen, 0, qt.Commentf("nothing starts after a decision"))
}

func TestOlderLinkIsDropped(t *testing.T) {
	f := newFixture()
	f.LinkUp(owner, 2)
	f.handle(owner, f.start(owner, 1, 0, 1)) // arrives on link 1
	qt.Assert(t, f.ran, qt.HasLen, 0)
	f.Handle(owner, 2, &wire.Msg{Kind: &wire.Msg_Start{Start: f.start(owner, 1, 0, 1)}})
	qt.Assert(t, f.ran, qt.HasLen, 1)
}

func TestExpiry(t *testing.T) {
	f := newFixture()
	f.handle(owner, f.start(owner, 1, 0, 1))
	f.now = f.now.Add(time.Minute + 2*time.Second)
	f.Tick()
	qt.Assert(t, f.Jobs(), qt.Equals, 1, qt.Commentf("a task that runs keeps its job"))
	f.Ended(key, 0, Outcome{Verdict: verdict.Ran, OK: true})
	f.Tick()
	qt.Assert(t, f.Jobs(), qt.Equals, 0)

	for _, late := range []any{
		f.start(owner, 1, 0, 2),
		&wire.Withdraw{Key: key.Wire(), MintedMs: f.minted(), Gen: ident.OwnerGeneration(owner).Wire()},
		&wire.Record{Key: key.Wire(), MintedMs: f.minted(), Gen: ident.OwnerGeneration(owner).Wire()},
		&wire.Seal{Key: key.Wire(), MintedMs: f.minted(), Gen: ident.OwnerGeneration(owner).Wire()},
	} {
		f.sent[owner] = nil
		f.handle(owner, late)
		qt.Assert(t, f.last(owner).GetExpired(), qt.IsNotNil, qt.Commentf("%T", late))
	}
	f.now = f.now.Add(-time.Hour)
	f.Tick()
	f.handle(owner, f.start(owner, 1, 0, 2))
	qt.Assert(t, f.ran, qt.HasLen, 1, qt.Commentf("a clock that jumps back reopens nothing"))
}

func TestAnswersAreBoundedAndVerdictsStay(t *testing.T) {
	f := newFixture()
	for i := range uint32(3) {
		f.handle(owner, f.start(owner, 1, i, 1))
		f.Ended(key, ident.TaskIndex(i), Outcome{Verdict: verdict.Ran, OK: true, Answer: make([]byte, 30)})
	}
	f.seal(adopter, 2)
	kept := 0
	for _, r := range f.last(adopter).GetSealed().GetEnded() {
		qt.Assert(t, r.GetVerdict(), qt.Equals, string(verdict.Ran))
		kept += len(r.GetAnswer())
	}
	qt.Assert(t, kept, qt.Equals, 60, qt.Commentf("two answers of 30 bytes fit in 64"))
}

func TestRepeatedAttemptTakenBackKeepsTheFirst(t *testing.T) {
	f := newFixture()
	s := f.start(owner, 1, 0, 1)
	s.Repeatable = true
	f.handle(owner, s)
	f.Ended(key, 0, Outcome{Verdict: verdict.MayHaveRun})
	f.handle(owner, f.start(owner, 1, 1, 1)) // takes the slot
	again := f.start(owner, 1, 0, 2)
	again.Repeatable = true
	f.handle(owner, again)
	f.Leave()
	f.seal(adopter, 2)
	ended := f.last(adopter).GetSealed().GetEnded()
	qt.Assert(t, ended, qt.HasLen, 1)
	qt.Assert(t, ended[0].GetVerdict(), qt.Equals, string(verdict.MayHaveRun))
}

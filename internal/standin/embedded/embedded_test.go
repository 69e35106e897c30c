package embedded_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/client"
	"hillreel/internal/core/invariant"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/verdict"
	"hillreel/internal/load/drive"
	"hillreel/internal/load/measure"
	"hillreel/internal/load/workload"
	"hillreel/internal/standin/embedded"
)

func TestWholePath(t *testing.T) {
	c := qt.New(t)
	invariant.SetFatal(true)
	set, err := embedded.Start(embedded.Options{Agents: 4, Seed: 1, Log: logs.Discard()})
	c.Assert(err, qt.IsNil)
	defer set.Stop()
	cl, err := client.New(client.Options{Entries: set.Callers()})
	c.Assert(err, qt.IsNil)
	jobs := workload.Draw(workload.Profile{
		Kind: workload.Canteen, Seed: 1, Length: time.Second, Slots: 32, Load: 0.5,
	})
	c.Assert(len(jobs) > 10, qt.IsTrue)
	into := measure.New()
	drive.Run(context.Background(), cl, jobs, drive.Options{
		Slots: 32, RoundTrip: time.Millisecond, Patience: time.Minute,
	}, into)
	r := into.Report()
	c.Assert(r.States, qt.DeepEquals, map[verdict.State]int{verdict.Complete: len(jobs)})
	c.Assert(r.Foreign, qt.Equals, 0)
	c.Assert(set.Recorder.Total(), qt.Equals, r.Tasks)
}

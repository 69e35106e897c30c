package capacity

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hillreel/internal/agent/ledger"
	agent "hillreel/internal/agent/node"
	"hillreel/internal/core/bus"
	"hillreel/internal/core/clock"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/settings"
	"hillreel/internal/core/verdict"
	"hillreel/internal/entry/job"
	entry "hillreel/internal/entry/node"
	"hillreel/internal/link/session"
	"hillreel/internal/platform/vms"
	"hillreel/internal/policy/placement"
)

const (
	peakAgents = 20
	peakSlots  = 64
	// peakJobs is how many jobs are in hand at once.
	peakJobs = 64
	peakSpan = 3 * time.Second
	peakWait = 10 * time.Second
)

// instant runs tasks in no time: what is left is hillreel's own cost.
type instant struct{}

// Run answers at once.
func (instant) Run(context.Context, ledger.Task) ledger.Outcome {
	return ledger.Outcome{Verdict: verdict.Ran, OK: true, Answer: make([]byte, answerSize)}
}

// Peak prints what one entry carries to agents that run tasks in no time, over real links in one process:
// tasks a second, processor time a task of entry and agents together, messages and frames a task.
func Peak(w io.Writer) error {
	e, stop, err := peakSet()
	if err != nil {
		return err
	}
	defer stop()
	before, begin, cpuBefore := session.Totals(), time.Now(), cpu()
	tasks := drivePeak(e)
	took, used, after := time.Since(begin), cpu()-cpuBefore, session.Totals()
	n := float64(tasks)
	_, err = fmt.Fprintf(w, "one entry, %d agents: %.0f tasks/s; %.2f us of processor time a task (entry, agents, kernel); "+
		"%.2f messages and %.3f frames a task\n", peakAgents, n/took.Seconds(), used.Seconds()/n*1e6,
		float64(after.MessagesOut-before.MessagesOut)/n, float64(after.FramesOut-before.FramesOut)/n)
	return errors.Wrap(err, "capacity")
}

// drivePeak keeps jobs in hand for the span and returns how many tasks ended.
func drivePeak(e *entry.Node) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	tasks := 0
	end := time.Now().Add(peakSpan)
	for range peakJobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				ids, err := e.Mint(service, 1)
				if err != nil {
					return
				}
				a := <-e.Do(job.Request{ID: ids[0], Op: job.OpSubmit, Spec: spec})
				mu.Lock()
				tasks += len(a.GetTasks())
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return tasks
}

// peakSet starts one entry and its agents.
func peakSet() (*entry.Node, func(), error) {
	set, err := settings.Parse("peak", "[node]\nlink = 127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	set.Agent.Slots, set.Agent.QueueLimit, set.Policy.Prefetch = peakSlots, peakSlots, peakSlots
	signer, err := newSigner()
	if err != nil {
		return nil, nil, err
	}
	b := bus.New()
	e := entry.New(set, entry.Deps{
		Bus: b, Dial: session.TCP, Signer: signer, Placer: placement.New(placement.LeastLoaded, 1), Now: clock.New(), Log: logs.Discard(),
	})
	if err := e.Start(context.Background()); err != nil {
		return nil, nil, err
	}
	var list vms.List
	var agents []*agent.Node
	stop := func() {
		e.Stop()
		for _, a := range agents {
			a.Stop()
		}
	}
	for i := range peakAgents {
		own := *set
		own.Node.Name = fmt.Sprintf("upstream-%d", i)
		a := agent.New(&own, instant{}, clock.New(), logs.Discard())
		if err := a.Start(context.Background()); err != nil {
			return nil, stop, err
		}
		agents = append(agents, a)
		list.VMs = append(list.VMs, vms.VM{Name: own.Node.Name, Role: vms.Agent, Address: ident.Address(a.Address()), Region: ident.Region(set.Node.Region), State: vms.Live})
	}
	if err := b.Publish(bus.Members, list); err != nil {
		return nil, stop, err
	}
	for begin := time.Now(); time.Since(begin) < peakWait; time.Sleep(10 * time.Millisecond) {
		if _, err := e.Mint(service, 1); err == nil && e.Status().Agents == peakAgents {
			return e, stop, nil
		}
	}
	return nil, stop, errors.New("capacity: the agents were not linked in time")
}

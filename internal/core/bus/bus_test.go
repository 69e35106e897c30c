package bus_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/bus"
)

type event struct{ N int }

func TestEventsArriveInOrder(t *testing.T) {
	b := bus.New()
	defer b.Close()
	got := make(chan int, 10)
	qt.Assert(t, bus.Subscribe(context.Background(), b, bus.Entries, func(e event) { got <- e.N }), qt.IsNil)
	for i := range 10 {
		qt.Assert(t, b.Publish(bus.Entries, event{i}), qt.IsNil)
	}
	for i := range 10 {
		qt.Assert(t, <-got, qt.Equals, i)
	}
}

// BenchmarkBus and BenchmarkChannel compare the cost of one event on the bus and on a plain channel (docs/MEASUREMENTS.md).
func BenchmarkBus(b *testing.B) {
	x := bus.New()
	defer x.Close()
	got := make(chan struct{}, 1)
	if err := bus.Subscribe(context.Background(), x, bus.Entries, func(event) { got <- struct{}{} }); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := x.Publish(bus.Entries, event{1}); err != nil {
			b.Fatal(err)
		}
		<-got
	}
}

func BenchmarkChannel(b *testing.B) {
	in, got := make(chan event, 1), make(chan struct{}, 1)
	go func() {
		for range in {
			got <- struct{}{}
		}
	}()
	defer close(in)
	for b.Loop() {
		in <- event{1}
		<-got
	}
}

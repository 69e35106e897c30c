package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one event a line, with the time since the start in milliseconds.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// add writes one event. who is the client, server or process that it concerns.
func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.1f  %-12s %s\n", r.ms(time.Now()), who, fmt.Sprintf(format, args...))
}

// ms returns the time since the start, in milliseconds.
func (r *record) ms(t time.Time) float64 { return float64(t.Sub(r.start).Microseconds()) / 1000 }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()  //nolint:errcheck // nothing else can be done
	r.file.Close() //nolint:errcheck // nothing else can be done
}

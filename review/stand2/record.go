package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, each line with the seconds since the start.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

// newRecorder creates the file.
func newRecorder(name string) (*recorder, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f}, nil
}

// logf writes one line; who names the client, executor or process.
func (r *recorder) logf(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...)) //nolint:errcheck // a lost line is seen in the record
}

// close closes the file.
func (r *recorder) close() { r.file.Close() } //nolint:errcheck // every line was written already

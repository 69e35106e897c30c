// Package logs sets up logging: one line of key=value pairs for each event. A separate goroutine writes the lines, at a bounded rate;
// lines above that rate are dropped and counted, so that logging never delays work.
package logs

import (
	"expvar"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// dropped is the number of lines that were not written.
var dropped = expvar.NewInt("log_lines_dropped")

// backlog is how many lines may be queued for writing.
const backlog = 1024

// burstSeconds is how many seconds' worth of lines may be written at once.
const burstSeconds = 5

// Writer passes lines on to another writer and never blocks its caller.
type Writer struct {
	out   io.Writer
	lines chan []byte
	rate  float64
	// pending is the number of lines that are queued or being written.
	pending atomic.Int64

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
}

// NewWriter returns a Writer that passes on at most rate lines a second, averaged over burstSeconds.
func NewWriter(out io.Writer, rate int) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, backlog), rate: float64(rate), tokens: float64(rate * burstSeconds), refilled: time.Now(),
	}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full or the rate is exceeded. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.takeToken(time.Now()) {
		dropped.Add(1)
		return len(line), nil
	}
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
		dropped.Add(1)
	}
	return len(line), nil
}

// flushPoll is how often Flush checks whether all lines are written.
const flushPoll = time.Millisecond

// Flush returns once all queued lines are written, or after limit: the process that reads them may have stopped.
func (w *Writer) Flush(limit time.Duration) {
	for until := time.Now().Add(limit); w.pending.Load() > 0 && time.Now().Before(until); {
		time.Sleep(flushPoll)
	}
}

// takeToken takes a token for one line from the token bucket and reports whether there was one.
func (w *Writer) takeToken(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(w.tokens+now.Sub(w.refilled).Seconds()*w.rate, w.rate*burstSeconds)
	w.refilled = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// run writes the queued lines; it joins all that are waiting into one write.
func (w *Writer) run() {
	for line := range w.lines {
		count := int64(1)
		for more := true; more; {
			select {
			case next := <-w.lines:
				line = append(line, next...)
				count++
			default:
				more = false
			}
		}
		if _, err := w.out.Write(line); err != nil {
			dropped.Add(count)
		}
		w.pending.Add(-count)
	}
}

// New returns the logger of one process, which writes to out. Every line contains the process's role and node. It returns an error if the
// level is unknown.
func New(out io.Writer, level string, role, node string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	l := logrus.New()
	l.SetOutput(out)
	l.SetLevel(parsed)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return l.WithFields(logrus.Fields{"role": role, "node": node}), nil
}

// Flush writes the lines that a logger's Writer has queued, within limit. A process that ends without calling Flush loses its last lines,
// and an orderly end then looks like a crash.
func Flush(log *logrus.Entry, limit time.Duration) {
	if w, ok := log.Logger.Out.(*Writer); ok {
		w.Flush(limit)
	}
}

// Discard returns a logger that writes nothing, for use in tests.
func Discard() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

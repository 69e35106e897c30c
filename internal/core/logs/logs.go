// Package logs sets up logging: one line of key=value pairs for each event.
package logs

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// New returns the logger of one process. Every line names its role and node.
func New(out io.Writer, level, role, node string) (*logrus.Entry, error) {
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

// Discard returns a logger that writes nothing, for tests.
func Discard() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

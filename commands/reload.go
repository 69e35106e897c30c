package commands

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/settings"
)

// reloadEvery is how often the settings file is read again: it may change without a signal, and a change should be
// in force within a few seconds.
const reloadInterval = 2 * time.Second

// reloader puts changed settings in force while a process runs.
type reloader struct {
	file string
	// now are the settings in force, last the file's newest content.
	current  *settings.Settings
	lastText string
	setSeeds func(seeds []string)
	log      *logrus.Entry
}

// newReloader returns a reloader of a settings file; seeds is called with new seeds, and may be nil.
func newReloader(file string, now *settings.Settings, seeds func([]string), log *logrus.Entry) *reloader {
	raw, _ := os.ReadFile(file) //nolint:errcheck // it was read a moment ago; if not, the next look says so
	return &reloader{file: file, current: now, lastText: string(raw), setSeeds: seeds, log: log}
}

// run looks at the file from time to time, and when it is asked to, until ctx ends.
func (r *reloader) run(ctx context.Context, asked <-chan struct{}) {
	if r.file == "" {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.reload()
		case <-asked:
			r.reload()
		}
	}
}

// reload reads the file and puts in force what can change while the process runs. What is wrong with it is logged
// with its section and key, and the settings stay as they are.
func (r *reloader) reload() {
	raw, err := os.ReadFile(r.file)
	if err != nil {
		r.log.WithField("error", err.Error()).Warn("settings_unreadable")
		return
	}
	if string(raw) == r.lastText {
		return
	}
	r.lastText = string(raw)
	next, err := settings.Parse(r.file, string(raw))
	if err != nil {
		r.log.WithField("error", err.Error()).Error("settings_refused")
		return
	}
	r.apply(next)
}

func (r *reloader) apply(next *settings.Settings) {
	var changed []string
	if !reflect.DeepEqual(next.Node.Seeds, r.current.Node.Seeds) {
		changed = append(changed, "node.seeds")
		r.current.Node.Seeds = next.Node.Seeds
		if r.setSeeds != nil {
			r.setSeeds(next.Node.Seeds)
		}
	}
	if next.Log.Level != r.current.Log.Level {
		changed = append(changed, "log.level")
		r.current.Log.Level = next.Log.Level
		if level, err := logrus.ParseLevel(next.Log.Level); err == nil {
			r.log.Logger.SetLevel(level)
		}
	}
	r.log.WithFields(logrus.Fields{"in_force": changed, "needs_restart": !reflect.DeepEqual(next, r.current)}).Info("settings_reloaded")
}

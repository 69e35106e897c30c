package commands

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"hillreel/internal/core/settings"
)

// reloadInterval is the time between two reads of the settings file. The file may change without a signal, and a change
// should take effect within a few seconds.
const reloadInterval = 2 * time.Second

// reloader applies changes of the settings file to a running process.
type reloader struct {
	file string
	// current holds the settings in effect; lastText is the content of the file when it was last read.
	current  *settings.Settings
	lastText string
	setSeeds func(seeds []string)
	log      *logrus.Entry
}

// newReloader returns a reloader for a settings file whose content is already in effect. It calls setSeeds, unless that is nil,
// when the seeds change.
func newReloader(file string, current *settings.Settings, setSeeds func([]string), log *logrus.Entry) *reloader {
	raw, _ := os.ReadFile(file) //nolint:errcheck // the file was readable a moment ago; reload reports an error
	return &reloader{file: file, current: current, lastText: string(raw), setSeeds: setSeeds, log: log}
}

// run calls reload periodically and for each receive from requests, until ctx ends. It returns immediately if there is no file.
func (r *reloader) run(ctx context.Context, requests <-chan struct{}) {
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
		case <-requests:
			r.reload()
		}
	}
}

// reload reads the file and applies the settings that can change while the process runs. An invalid file is logged with the
// section and key of the error, and changes nothing.
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

// apply applies new seeds and a new log level, and logs whether other changes need a restart.
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

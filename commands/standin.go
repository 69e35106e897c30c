package commands

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hillreel/commands/exit"
	"hillreel/commands/flag"
	"hillreel/internal/core/web"
	"hillreel/platform"
	"hillreel/platform/standin"
)

func init() { register(standinCommand{}) }

type standinCommand struct{}

func (s standinCommand) define() *cli.Command {
	return &cli.Command{
		Name: "standin", Usage: "run a stand-in for an external system, for trials on one machine",
		Commands: []*cli.Command{
			{
				Name: "store", Usage: "run the platform's store, in memory",
				Flags: []cli.Flag{
					flag.Config(),
					&cli.StringFlag{Name: "routes", Usage: "write the operator's configuration from `FILE` (JSON) into the store, also after each change"},
				},
				Action: s.store,
			},
			{Name: "upstream", Usage: "run an upstream whose tasks only sleep", Flags: []cli.Flag{flag.Config()}, Action: s.upstream},
		},
	}
}

// routesInterval is the time between two reads of the file with the operator's configuration.
const routesInterval = 200 * time.Millisecond

func (standinCommand) store(ctx context.Context, c *cli.Command) error {
	set, log, err := load(c, "store")
	if err != nil {
		return err
	}
	store := standin.NewStore()
	if file := c.String("routes"); file != "" {
		if err := putRoutes(store, file, nil); err != nil {
			return cli.Exit(err.Error(), exit.Usage)
		}
		go watchRoutes(ctx, store, file, log)
	}
	return serveStandin(ctx, web.New("the store", set.Standin.Listen, store.Handler(), web.Internal), log)
}

// putRoutes writes the file's content into the store as the configuration, unless it equals *last, and sets *last. With a nil
// last it always writes. It returns an error if the file can't be read or isn't JSON.
func putRoutes(store *standin.Store, file string, last *string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "routes")
	}
	if last != nil && *last == string(raw) {
		return nil
	}
	if !json.Valid(raw) {
		return errors.Errorf("routes: %s is not JSON", file)
	}
	store.Put(string(platform.ConfigKey.Table), platform.ConfigKey.Name, raw)
	if last != nil {
		*last = string(raw)
	}
	return nil
}

// watchRoutes writes the file into the store whenever the file changes, until ctx ends. It logs errors and tries again.
func watchRoutes(ctx context.Context, store *standin.Store, file string, log *logrus.Entry) {
	last := ""
	for ctx.Err() == nil {
		if err := putRoutes(store, file, &last); err != nil {
			log.WithField("error", err.Error()).Warn("routes_unusable")
		}
		time.Sleep(routesInterval)
	}
}

func (standinCommand) upstream(ctx context.Context, c *cli.Command) error {
	set, log, err := load(c, "upstream")
	if err != nil {
		return err
	}
	u := standin.NewUpstream(standin.UpstreamOptions{
		Name: set.Node.Name, Service: set.Upstream.Service, Agent: string(set.Upstream.Agent),
		CPU: int64(set.Upstream.Cores) * 1000, MemMB: standinMemory, Beat: set.Upstream.Beat,
	})
	defer u.Close()
	return serveStandin(ctx, web.New("the upstream", set.Upstream.Listen, u.Handler(), web.Internal), log)
}

// standinMemory is the memory that a stand-in for an upstream reports, in MB.
const standinMemory = 64 << 10

// serveStandin runs a stand-in's server until the process is asked to stop.
func serveStandin(ctx context.Context, s *web.Server, log *logrus.Entry) error {
	signals := notifySignals()
	if err := s.Start(ctx); err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	defer s.Stop()
	log.WithField("address", s.Address()).Info("started")
	awaitStop(ctx, signals, log, nil)
	return nil
}

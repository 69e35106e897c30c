package commands

import (
	"context"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/settings"
	"hillreel/internal/platform/vms"
	"hillreel/internal/standin/platform"
	"hillreel/internal/standin/upstream"
)

func init() { register(standinCommand{}) }

type standinCommand struct{}

func (s standinCommand) define() *cli.Command {
	return &cli.Command{
		Name: "standin", Usage: "run a small stand-in for an outside system, for tests only",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "run the platform's table and list of VMs",
				Flags: []cli.Flag{configFlag()}, Action: s.platform,
			},
			{
				Name: "upstream", Usage: "run an upstream that runs tasks by waiting",
				Flags: []cli.Flag{configFlag()}, Action: s.upstream,
			},
		},
	}
}

func (standinCommand) platform(ctx context.Context, c *cli.Command) error {
	set, log, err := load(c, "standin_platform")
	if err != nil {
		return err
	}
	var listed []vms.VM
	for _, text := range set.Standin.VMs {
		vm, ok := parseVM(text)
		if !ok {
			return cli.Exit("settings: [standin_platform] vms: want name/role/address/zone/region, not "+text, ExitUsage)
		}
		listed = append(listed, vm)
	}
	s := platform.New(set.Standin.Lag, listed...)
	return serveStandin(ctx, s, set.Standin.Listen, log)
}

// parseVM reads name/role/address/zone/region.
func parseVM(text string) (vms.VM, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 5 {
		return vms.VM{}, false
	}
	role := vms.Role(parts[1])
	return vms.VM{
		Name: parts[0], Role: role, Address: ident.Address(parts[2]), Zone: ident.Zone(parts[3]),
		Region: ident.Region(parts[4]), State: vms.Live,
	}, role == vms.Entry || role == vms.Agent
}

func (standinCommand) upstream(ctx context.Context, c *cli.Command) error {
	set, log, err := load(c, "standin_upstream")
	if err != nil {
		return err
	}
	s := upstream.New(upstream.NewRecorder(), set.Upstream.Least, set.Upstream.Most, uint64(set.Upstream.Seed))
	return serveStandin(ctx, s, set.Upstream.Listen, log)
}

// standin is what both stand-ins can do.
type standin interface {
	Start(address string) (string, error)
	Stop()
}

// serveStandin runs a stand-in until the process is asked to end.
func serveStandin(ctx context.Context, s standin, listen settings.Address, log *logrus.Entry) error {
	address, err := s.Start(string(listen))
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	log.WithField("address", address).Info("standin_started")
	awaitSignal(ctx)
	s.Stop()
	return nil
}

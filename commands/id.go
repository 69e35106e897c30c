package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"hillreel/client"
)

func init() { register(idCommand{}) }

type idCommand struct{}

func (i idCommand) define() *cli.Command {
	return &cli.Command{
		Name: "id", Usage: "fetch fresh job ids, one a line",
		Flags: []cli.Flag{
			configFlag(), entriesFlag(),
			&cli.StringFlag{Name: "service", Required: true, Usage: "fetch ids for `SERVICE`"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "fetch `N` ids"},
		},
		Action: i.run,
	}
}

// entriesFlag names the entries that a client asks.
func entriesFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: "entry", Value: []string{"127.0.0.1:7600"}, Usage: "ask the entry at `ADDRESS`; may be repeated",
	}
}

func newClient(c *cli.Command) (*client.Client, error) {
	cl, err := client.New(client.Options{Entries: c.StringSlice("entry")})
	if err != nil {
		return nil, cli.Exit(err.Error(), ExitUsage)
	}
	return cl, nil
}

func (idCommand) run(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	for range c.Int("count") {
		id, err := cl.NextID(ctx, c.String("service"))
		if err != nil {
			return cli.Exit(err.Error(), ExitFailed)
		}
		if _, err := fmt.Fprintln(c.Root().Writer, id); err != nil {
			return err
		}
	}
	return nil
}

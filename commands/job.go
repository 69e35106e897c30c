package commands

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/verdict"
)

func init() { register(jobCommand{}) }

type jobCommand struct{}

func (j jobCommand) define() *cli.Command {
	return &cli.Command{
		Name: "job", Usage: "send a job from standard input to an entry and print its answer",
		Description: "The job is JSON as docs/API.md describes it. Exit code 0: the job is complete.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Value: []string{"127.0.0.1:7600"}, Usage: "callers' API of an entry, `ADDRESS`; several may be given"},
			&cli.StringFlag{Name: "id", Usage: "send the job under `ID`, 16 hexadecimal digits; without it, one is drawn"},
		},
		Action: j.run,
	}
}

func (jobCommand) run(ctx context.Context, c *cli.Command) error {
	raw, err := io.ReadAll(os.Stdin)
	if err != nil {
		return cli.Exit("standard input: "+err.Error(), ExitUsage)
	}
	var job api.Job
	if err := json.Unmarshal(raw, &job); err != nil {
		return cli.Exit("standard input: "+err.Error(), ExitUsage)
	}
	cl, err := client.New(client.Options{Entries: c.StringSlice("entry")})
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	id := c.String("id")
	if id == "" {
		id = client.NewID()
	}
	a, err := cl.Submit(ctx, id, job)
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	out, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if _, err := c.Root().Writer.Write(append(out, '\n')); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	if a.State != verdict.Complete {
		return cli.Exit("", ExitFailed)
	}
	return nil
}

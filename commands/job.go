package commands

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"hillreel/api"
	"hillreel/client"
	"hillreel/commands/exit"
	"hillreel/internal/core/verdict"
)

func init() { register(jobCommand{}) }

type jobCommand struct{}

func (j jobCommand) define() *cli.Command {
	return &cli.Command{
		Name: "job", Usage: "send a job from standard input to an entry and print its answer",
		Description: "The job is JSON as described in docs/API.md. The exit code is 0 if the job is complete, or if it is accepted and kept.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Value: []string{"127.0.0.1:7600"}, Usage: "use the callers' API at `ADDRESS`; may be repeated"},
			&cli.StringFlag{Name: "id", Usage: "send the job under `ID`, 16 hexadecimal digits; by default the id is random"},
			&cli.BoolFlag{Name: "state", Usage: "print the state of the kept job named by --id instead"},
			&cli.BoolFlag{Name: "cancel", Usage: "cancel the job named by --id instead"},
		},
		Action: j.run,
	}
}

func (jobCommand) run(ctx context.Context, c *cli.Command) error {
	cl, err := client.New(client.Options{Entries: c.StringSlice("entry")})
	if err != nil {
		return cli.Exit(err.Error(), exit.Usage)
	}
	id := c.String("id")
	var a *api.Answer
	switch {
	case (c.Bool("state") || c.Bool("cancel")) && id == "":
		return cli.Exit("--id is required with --state and --cancel", exit.Usage)
	case c.Bool("state"):
		a, err = cl.State(ctx, id)
	case c.Bool("cancel"):
		a, err = cl.Cancel(ctx, id)
	default:
		a, err = submit(ctx, cl, id)
	}
	if err != nil {
		if coded, ok := err.(cli.ExitCoder); ok {
			return coded
		}
		return cli.Exit(err.Error(), exit.Failed)
	}
	out, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	if _, err := c.Root().Writer.Write(append(out, '\n')); err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	switch a.State {
	case verdict.Complete, verdict.Accepted, verdict.Cancelled:
		return nil
	}
	return cli.Exit("", exit.Failed)
}

// submit reads a job from standard input and sends it under id, or under a random id if id is empty.
func submit(ctx context.Context, cl *client.Client, id string) (*api.Answer, error) {
	raw, err := io.ReadAll(os.Stdin)
	if err != nil {
		return nil, cli.Exit("standard input: "+err.Error(), exit.Usage)
	}
	var job api.Job
	if err := json.Unmarshal(raw, &job); err != nil {
		return nil, cli.Exit("standard input: "+err.Error(), exit.Usage)
	}
	if id == "" {
		id = client.NewID()
	}
	return cl.Submit(ctx, id, job)
}

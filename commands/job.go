package commands

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"hillreel/api"
	"hillreel/client"
	"hillreel/internal/core/verdict"
)

func init() { register(jobCommand{}) }

type jobCommand struct{}

func (j jobCommand) define() *cli.Command {
	id := &cli.StringFlag{Name: "id", Required: true, Usage: "the job's `ID`, from 'hillreel id'"}
	return &cli.Command{
		Name: "job", Usage: "submit, read or cancel a job",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a job and wait for its outcome, again and again until it is known",
				Flags: []cli.Flag{
					configFlag(), entriesFlag(), id,
					&cli.StringFlag{Name: "file", Value: "-", Usage: "read the job, as JSON, from `FILE` (- is standard input)"},
					&cli.DurationFlag{Name: "patience", Value: time.Minute, Usage: "wait at most `TIME`"},
				},
				Action: j.submit,
			},
			{Name: "read", Usage: "read where a job stands", Flags: []cli.Flag{configFlag(), entriesFlag(), id}, Action: j.read},
			{Name: "cancel", Usage: "withdraw what has not started", Flags: []cli.Flag{configFlag(), entriesFlag(), id}, Action: j.cancel},
		},
	}
}

func (jobCommand) submit(ctx context.Context, c *cli.Command) error {
	job, err := readJob(c.String("file"))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("patience"))
	defer cancel()
	return withClient(c, func(cl *client.Client) (*api.Answer, error) { return cl.Submit(ctx, c.String("id"), job) })
}

func (jobCommand) read(ctx context.Context, c *cli.Command) error {
	return withClient(c, func(cl *client.Client) (*api.Answer, error) { return cl.Read(ctx, c.String("id")) })
}

func (jobCommand) cancel(ctx context.Context, c *cli.Command) error {
	return withClient(c, func(cl *client.Client) (*api.Answer, error) { return cl.Cancel(ctx, c.String("id")) })
}

// withClient prints the answer; only a complete or running job is a success.
func withClient(c *cli.Command, ask func(*client.Client) (*api.Answer, error)) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	a, err := ask(cl)
	if err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	out := json.NewEncoder(c.Root().Writer)
	out.SetIndent("", "  ")
	if err := out.Encode(a); err != nil {
		return err
	}
	if a.State != verdict.Complete && a.State != verdict.Running {
		return cli.Exit("the job is "+string(a.State), ExitFailed)
	}
	return nil
}

func readJob(name string) (api.Job, error) {
	var job api.Job
	in := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return job, err
		}
		defer f.Close()
		in = f
	}
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	return job, d.Decode(&job)
}

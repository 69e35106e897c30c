package commands

import (
	"bytes"
	"context"
	_ "embed" // for the page's template
	"fmt"
	"html/template"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"hillreel/commands/exit"
	"hillreel/commands/port"
	"hillreel/internal/entry/burn"
)

//go:embed burn.html
var burnPage string

func init() { register(burnCommand{}) }

type burnCommand struct{}

func (b burnCommand) define() *cli.Command {
	return &cli.Command{
		Name: "burn", Usage: "print the burn rate of each service's error budgets, as recorded by one entry",
		Flags: port.Flags(
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "html", Usage: "write an HTML page to `FILE`"},
		),
		Action: b.run,
	}
}

func (b burnCommand) run(ctx context.Context, c *cli.Command) error {
	var services []burn.Service
	if _, err := port.Do(ctx, c, port.Call{Method: http.MethodGet, Path: "/v1/burn"}, &services); err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	if file := c.String("html"); file != "" {
		if err := b.writePage(file, services); err != nil {
			return cli.Exit(err.Error(), exit.Failed)
		}
	}
	if c.Bool("json") {
		return port.PrintJSON(c, services)
	}
	return b.writeText(c, services)
}

// writePage writes the report as an HTML page to file.
func (burnCommand) writePage(file string, services []burn.Service) error {
	t, err := template.New("burn").Parse(burnPage)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := t.Execute(&out, services); err != nil {
		return err
	}
	return os.WriteFile(file, out.Bytes(), 0o644)
}

// writeText prints the report as text.
func (burnCommand) writeText(c *cli.Command, services []burn.Service) error {
	var out bytes.Buffer
	if len(services) == 0 {
		out.WriteString("no objective is configured: hillreel config set objective NAME ...\n")
	}
	for _, s := range services {
		fmt.Fprintf(&out, "%s\n", s.Service)
		for _, r := range s.Rates {
			fmt.Fprintf(&out, "  last %-4s %7d jobs   complete budget burns at %6.2f   fast budget at %6.2f\n", r.Window, r.Jobs, r.Complete, r.Fast)
		}
		for _, contributor := range s.Contributors {
			fmt.Fprintf(&out, "  %s %s: %d bad jobs in the last hour, %.0f%% of all\n",
				contributor.Kind, contributor.Name, contributor.Bad, 100*contributor.Share)
		}
	}
	_, err := c.Root().Writer.Write(out.Bytes())
	return err
}

package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"hillreel/internal/entry/operator"
)

func (f configCommand) getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print one object, or all of a kind, or all", ArgsUsage: "[KIND [NAME]]",
		Flags: operatorFlags(), Action: f.get,
	}
}

func (configCommand) get(ctx context.Context, c *cli.Command) error {
	path := "/v1/config"
	for _, part := range c.Args().Slice() {
		path += "/" + url.PathEscape(part)
	}
	var out json.RawMessage
	if _, err := callOperator(ctx, c, operatorCall{method: http.MethodGet, path: path}, &out); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	return printJSON(c, out)
}

func (f configCommand) setCommand() *cli.Command {
	return &cli.Command{
		Name: "set", Usage: "create or replace one object; its content is JSON", ArgsUsage: "KIND NAME JSON",
		Flags: operatorFlags(
			&cli.Uint64Flag{Name: "if", Usage: "only if the object has `VERSION`; without it the object must be new"},
			&cli.BoolFlag{Name: "patch", Usage: "change only the fields given (JSON merge patch)"},
			&cli.BoolFlag{Name: "dry-run", Usage: "only say what the change would move"},
			&cli.StringFlag{Name: "change-id", Usage: "name the change `ID`, so that sending it again does not repeat it"},
		),
		Action: f.set,
	}
}

func (configCommand) set(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 3 {
		return cli.Exit("config set: want KIND NAME JSON", ExitUsage)
	}
	call := operatorCall{method: http.MethodPut, path: pathOf(c.Args().Get(0), c.Args().Get(1)), header: ifMatch(c.Uint64("if"))}
	call.body = []byte(c.Args().Get(2))
	call.header[operator.HeaderChange] = c.String("change-id")
	if c.Bool("patch") {
		call.method = http.MethodPatch
	}
	if c.Bool("dry-run") {
		call.path += "?dry_run=1"
	}
	var out json.RawMessage
	if _, err := callOperator(ctx, c, call, &out); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	return printJSON(c, out)
}

func (f configCommand) deleteCommand() *cli.Command {
	return &cli.Command{
		Name: "delete", Usage: "delete one object", ArgsUsage: "KIND NAME",
		Flags: operatorFlags(&cli.Uint64Flag{Name: "if", Required: true, Usage: "only if the object has `VERSION`"}), Action: f.delete,
	}
}

func (configCommand) delete(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return cli.Exit("config delete: want KIND NAME", ExitUsage)
	}
	call := operatorCall{method: http.MethodDelete, path: pathOf(c.Args().Get(0), c.Args().Get(1)), header: ifMatch(c.Uint64("if"))}
	var out json.RawMessage
	if _, err := callOperator(ctx, c, call, &out); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	return printJSON(c, out)
}

// pathOf is the path of one object.
func pathOf(kind, name string) string {
	return "/v1/config/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (f configCommand) historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "print the audit trail: who changed what, when, from which version to which",
		ArgsUsage: "[KIND NAME]", Flags: operatorFlags(), Action: f.history,
	}
}

func (configCommand) history(ctx context.Context, c *cli.Command) error {
	q := url.Values{}
	if c.Args().Len() == 2 {
		q.Set("kind", c.Args().Get(0))
		q.Set("name", c.Args().Get(1))
	}
	var trail operator.Trail
	if _, err := callOperator(ctx, c, operatorCall{method: http.MethodGet, path: "/v1/audit?" + q.Encode()}, &trail); err != nil {
		return cli.Exit(err.Error(), ExitFailed)
	}
	for _, a := range trail.Changes {
		if _, err := fmt.Fprintf(c.Root().Writer, "%d  %s  %s  %s  from %d to %d  %s\n",
			a.Version, a.When.Format("2006-01-02T15:04:05.000Z07:00"), a.Who, a.Ref, a.If, a.To, a.Spec); err != nil {
			return err
		}
	}
	return nil
}

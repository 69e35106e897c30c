package config

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"hillreel/commands/exit"
	"hillreel/commands/port"
	"hillreel/internal/entry/operator"
)

func (f command) getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print one object, or all of a kind, or all", ArgsUsage: "[KIND [NAME]]",
		Flags: port.Flags(), Action: f.get,
	}
}

func (command) get(ctx context.Context, c *cli.Command) error {
	path := "/v1/config"
	for _, part := range c.Args().Slice() {
		path += "/" + url.PathEscape(part)
	}
	var out json.RawMessage
	if _, err := port.Do(ctx, c, port.Call{Method: http.MethodGet, Path: path}, &out); err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	return port.PrintJSON(c, out)
}

func (f command) setCommand() *cli.Command {
	return &cli.Command{
		Name: "set", Usage: "create or replace one object; its content is JSON", ArgsUsage: "KIND NAME JSON",
		Flags: port.Flags(
			&cli.Uint64Flag{Name: "if", Usage: "change the object only if it has `VERSION`; without --if the object must not exist yet"},
			&cli.BoolFlag{Name: "patch", Usage: "change only the given fields (JSON merge patch)"},
			&cli.BoolFlag{Name: "dry-run", Usage: "change nothing, and print the effects that the change would have"},
			&cli.StringFlag{Name: "change-id", Usage: "give the change the `ID`, so that a repeated request does not apply it twice"},
		),
		Action: f.set,
	}
}

func (command) set(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 3 {
		return cli.Exit("config set: want KIND NAME JSON", exit.Usage)
	}
	call := port.Call{Method: http.MethodPut, Path: objectPath(c.Args().Get(0), c.Args().Get(1)), Header: ifMatch(c.Uint64("if"))}
	call.Body = []byte(c.Args().Get(2))
	call.Header[operator.HeaderChange] = c.String("change-id")
	if c.Bool("patch") {
		call.Method = http.MethodPatch
	}
	if c.Bool("dry-run") {
		call.Path += "?dry_run=1"
	}
	var out json.RawMessage
	if _, err := port.Do(ctx, c, call, &out); err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	return port.PrintJSON(c, out)
}

func (f command) deleteCommand() *cli.Command {
	return &cli.Command{
		Name: "delete", Usage: "delete one object", ArgsUsage: "KIND NAME",
		Flags: port.Flags(&cli.Uint64Flag{Name: "if", Required: true, Usage: "delete the object only if it has `VERSION`"}), Action: f.delete,
	}
}

func (command) delete(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return cli.Exit("config delete: want KIND NAME", exit.Usage)
	}
	call := port.Call{Method: http.MethodDelete, Path: objectPath(c.Args().Get(0), c.Args().Get(1)), Header: ifMatch(c.Uint64("if"))}
	var out json.RawMessage
	if _, err := port.Do(ctx, c, call, &out); err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	return port.PrintJSON(c, out)
}

// ifMatch returns the headers that make a change conditional on the version of the object. Version zero means that the object
// must not exist yet.
func ifMatch(version uint64) map[string]string {
	if version == 0 {
		return map[string]string{"If-None-Match": "*"}
	}
	return map[string]string{"If-Match": `"` + strconv.FormatUint(version, 10) + `"`}
}

// objectPath returns the URL path of one object.
func objectPath(kind, name string) string {
	return "/v1/config/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (f command) historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "print the audit trail: who changed which object, when, and from which version to which",
		ArgsUsage: "[KIND NAME]", Flags: port.Flags(), Action: f.history,
	}
}

func (command) history(ctx context.Context, c *cli.Command) error {
	q := url.Values{}
	if c.Args().Len() == 2 {
		q.Set("kind", c.Args().Get(0))
		q.Set("name", c.Args().Get(1))
	}
	var trail operator.AuditTrail
	if _, err := port.Do(ctx, c, port.Call{Method: http.MethodGet, Path: "/v1/audit?" + q.Encode()}, &trail); err != nil {
		return cli.Exit(err.Error(), exit.Failed)
	}
	for _, a := range trail.Changes {
		if _, err := fmt.Fprintf(c.Root().Writer, "%d  %s  %s  %s  from %d to %d  %s\n",
			a.Version, a.When.Format("2006-01-02T15:04:05.000Z07:00"), a.Who, a.Ref, a.If, a.To, a.Spec); err != nil {
			return err
		}
	}
	return nil
}

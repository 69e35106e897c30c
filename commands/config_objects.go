package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"hillreel/internal/config/object"
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

func pathOf(kind, name string) string {
	return "/v1/config/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "read a JSON list of objects from `FILE` (- is standard input)"}
}

func (f configCommand) applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "create or replace the objects of a file, each only if nobody changed it meanwhile",
		Flags: operatorFlags(fileFlag()), Action: f.apply,
	}
}

func (f configCommand) diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "print what apply would change", Flags: operatorFlags(fileFlag()), Action: f.diff,
	}
}

func (configCommand) apply(ctx context.Context, c *cli.Command) error {
	return eachDifference(ctx, c, func(present, wanted object.Object) error {
		call := operatorCall{method: http.MethodPut, path: pathOf(string(wanted.Kind), string(wanted.Name)), header: ifMatch(present.Version), body: wanted.Spec}
		var done operator.Changed
		if _, err := callOperator(ctx, c, call, &done); err != nil {
			return cli.Exit(wanted.Ref.String()+": "+err.Error(), ExitFailed)
		}
		_, err := fmt.Fprintf(c.Root().Writer, "%s changed, configuration version %d\n", wanted.Ref, done.Version)
		return err
	})
}

func (configCommand) diff(ctx context.Context, c *cli.Command) error {
	return eachDifference(ctx, c, func(present, wanted object.Object) error {
		before := string(present.Spec)
		if present.Version == 0 {
			before = "(none)"
		}
		_, err := fmt.Fprintf(c.Root().Writer, "%s\n- %s\n+ %s\n", wanted.Ref, before, wanted.Spec)
		return err
	})
}

// eachDifference calls f for each object of the file that is not there as it stands in the file.
func eachDifference(ctx context.Context, c *cli.Command, f func(present, wanted object.Object) error) error {
	raw, err := readInput(c.String("file"))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	var wanted []object.Object
	if err := json.Unmarshal(raw, &wanted); err != nil {
		return cli.Exit(c.String("file")+": "+err.Error(), ExitUsage)
	}
	for _, o := range wanted {
		if err := object.Check(o.Ref, o.Spec); err != nil {
			return cli.Exit(fmt.Sprintf("%s: %s: %s", c.String("file"), o.Ref, err), ExitUsage)
		}
	}
	for _, o := range wanted {
		var present object.Object
		call := operatorCall{method: http.MethodGet, path: pathOf(string(o.Kind), string(o.Name))}
		status, err := callOperator(ctx, c, call, &present)
		if err != nil && status != http.StatusNotFound {
			return cli.Exit(err.Error(), ExitFailed)
		}
		if present.Version > 0 && sameJSON(present.Spec, o.Spec) {
			continue
		}
		if err := f(present, o); err != nil {
			return err
		}
	}
	return nil
}

// sameJSON compares content, not white space.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
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

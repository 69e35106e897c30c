package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"hillreel/internal/config/object"
	"hillreel/internal/entry/operator"
)

// fileFlag names the file of objects.
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

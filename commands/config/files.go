package config

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"hillreel/commands/exit"
	"hillreel/commands/port"
	"hillreel/internal/config/object"
	"hillreel/internal/entry/operator"
)

// fileFlag returns the --file flag, which names a file of configuration objects.
func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "read a JSON list of objects from `FILE` (- is standard input)"}
}

func (f command) applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "create or replace the objects in a file, each only if it has not changed since it was read",
		Flags: port.Flags(fileFlag()), Action: f.apply,
	}
}

func (f command) diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "print the changes that apply would make", Flags: port.Flags(fileFlag()), Action: f.diff,
	}
}

func (command) apply(ctx context.Context, c *cli.Command) error {
	return forEachDifference(ctx, c, func(present, wanted object.Object) error {
		call := port.Call{Method: http.MethodPut, Path: objectPath(string(wanted.Kind), string(wanted.Name)), Header: ifMatch(present.Version), Body: wanted.Spec}
		var changed operator.Changed
		if _, err := port.Do(ctx, c, call, &changed); err != nil {
			return cli.Exit(wanted.Ref.String()+": "+err.Error(), exit.Failed)
		}
		_, err := fmt.Fprintf(c.Root().Writer, "%s changed, configuration version %d\n", wanted.Ref, changed.Version)
		return err
	})
}

func (command) diff(ctx context.Context, c *cli.Command) error {
	return forEachDifference(ctx, c, func(present, wanted object.Object) error {
		before := string(present.Spec)
		if present.Version == 0 {
			before = "(none)"
		}
		_, err := fmt.Fprintf(c.Root().Writer, "%s\n- %s\n+ %s\n", wanted.Ref, before, wanted.Spec)
		return err
	})
}

// forEachDifference calls f for each object in the file that the configuration lacks or has with another spec. A missing object
// is passed to f with version zero. Nothing is called if any object in the file is invalid.
func forEachDifference(ctx context.Context, c *cli.Command, f func(present, wanted object.Object) error) error {
	raw, err := readInput(c.String("file"))
	if err != nil {
		return cli.Exit(err.Error(), exit.Usage)
	}
	var wanted []object.Object
	if err := json.Unmarshal(raw, &wanted); err != nil {
		return cli.Exit(c.String("file")+": "+err.Error(), exit.Usage)
	}
	for _, o := range wanted {
		if err := object.Check(o.Ref, o.Spec); err != nil {
			return cli.Exit(fmt.Sprintf("%s: %s: %s", c.String("file"), o.Ref, err), exit.Usage)
		}
	}
	for _, o := range wanted {
		var present object.Object
		call := port.Call{Method: http.MethodGet, Path: objectPath(string(o.Kind), string(o.Name))}
		status, err := port.Do(ctx, c, call, &present)
		if err != nil && status != http.StatusNotFound {
			return cli.Exit(err.Error(), exit.Failed)
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

// sameJSON reports whether two JSON texts are equal apart from white space.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

// readInput reads the named file, or standard input if name is "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// Package port calls an entry's operators' port for subcommands.
package port

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hillreel/commands/flag"
)

// callLimit bounds one call to an entry's operators' port.
const callTimeout = 10 * time.Second

// Flags say which entry to ask, and as whom.
func Flags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		flag.Config(),
		&cli.StringFlag{Name: "operators", Value: "127.0.0.1:7500", Usage: "ask the operators' port at `ADDRESS`"},
		&cli.StringFlag{Name: "token", Sources: cli.EnvVars("HILLREEL_TOKEN"), Usage: "bear `TOKEN`; better given as HILLREEL_TOKEN"},
	}, more...)
}

// Call is one call to the operators' port.
type Call struct {
	Method, Path string
	Header       map[string]string
	Body         []byte
}

// Do does the call and decodes a success into out. An error is the server's own words.
func Do(ctx context.Context, c *cli.Command, call Call, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.String("operators")+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return 0, errors.Wrap(err, "operators' port")
	}
	req.Header.Set("Authorization", "Bearer "+c.String("token"))
	for k, v := range call.Header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "operators' port")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, errors.Wrap(err, "operators' port")
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, errors.New(string(bytes.TrimSpace(raw)))
	}
	return resp.StatusCode, errors.Wrap(json.Unmarshal(raw, out), "operators' port")
}

// PrintJSON writes v, indented.
func PrintJSON(c *cli.Command, v any) error {
	out := json.NewEncoder(c.Root().Writer)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

// Package port implements calls to the operators' port of an entry, for subcommands.
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

// callTimeout bounds one call to the operators' port of an entry.
const callTimeout = 10 * time.Second

// Flags returns the flags that select the entry and the operator's token, followed by more.
func Flags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		flag.Config(),
		&cli.StringFlag{Name: "operators", Value: "127.0.0.1:7500", Usage: "call the operators' port at `ADDRESS`"},
		&cli.StringFlag{Name: "token", Sources: cli.EnvVars("HILLREEL_TOKEN"), Usage: "authenticate with `TOKEN`; preferably set HILLREEL_TOKEN instead"},
	}, more...)
}

// Call describes a call to the operators' port.
type Call struct {
	Method, Path string
	Header       map[string]string
	Body         []byte
}

// Do makes the call and decodes the body of a successful response into out. It returns the HTTP status, or zero if there was no
// response. For any other status than 200 the error is the response body.
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

// PrintJSON prints v as indented JSON.
func PrintJSON(c *cli.Command, v any) error {
	out := json.NewEncoder(c.Root().Writer)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

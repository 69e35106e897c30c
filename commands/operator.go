package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// callLimit bounds one call to an entry's operators' port.
const callLimit = 10 * time.Second

// operatorFlags say which entry to ask, and as whom.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		configFlag(),
		&cli.StringFlag{Name: "operators", Value: "127.0.0.1:7500", Usage: "ask the operators' port at `ADDRESS`"},
		&cli.StringFlag{Name: "token", Sources: cli.EnvVars("HILLREEL_TOKEN"), Usage: "bear `TOKEN`; better given as HILLREEL_TOKEN"},
	}, more...)
}

// operatorCall is one call to the operators' port.
type operatorCall struct {
	method, path string
	header       map[string]string
	body         []byte
}

// callOperator does the call and decodes a success into out. An error is the server's own words.
func callOperator(ctx context.Context, c *cli.Command, call operatorCall, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+c.String("operators")+call.path, bytes.NewReader(call.body))
	if err != nil {
		return 0, errors.Wrap(err, "operators' port")
	}
	req.Header.Set("Authorization", "Bearer "+c.String("token"))
	for k, v := range call.header {
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

// printJSON writes v, indented.
func printJSON(c *cli.Command, v any) error {
	out := json.NewEncoder(c.Root().Writer)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

// ifMatch makes a change conditional on an object's version; zero is an object that is not there yet.
func ifMatch(version uint64) map[string]string {
	if version == 0 {
		return map[string]string{"If-None-Match": "*"}
	}
	return map[string]string{"If-Match": `"` + strconv.FormatUint(version, 10) + `"`}
}

// readInput reads a file, or standard input for "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// Package flag defines the flags that subcommands share.
package flag

import "github.com/urfave/cli/v3"

// settingsVariable is the environment variable that names the settings file if --config is not given.
const settingsVariable = "HILLREEL_CONFIG"

// Config returns the --config flag.
func Config() cli.Flag {
	return &cli.StringFlag{
		Name: "config", Usage: "read settings from `FILE` (hillreel.ini documents them all)", Sources: cli.EnvVars(settingsVariable),
	}
}

// Package flag has the flag that every subcommand has.
package flag

import "github.com/urfave/cli/v3"

// settingsVariable names the settings file where --config does not.
const settingsVariable = "HILLREEL_CONFIG"

// Config is the --config flag.
func Config() cli.Flag {
	return &cli.StringFlag{
		Name: "config", Usage: "read settings from `FILE` (hillreel.ini documents them all)", Sources: cli.EnvVars(settingsVariable),
	}
}

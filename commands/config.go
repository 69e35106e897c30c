package commands

import (
	"github.com/urfave/cli/v3"

	"hillreel/commands/config"
)

func init() { register(configCommand{}) }

type configCommand struct{}

func (configCommand) define() *cli.Command { return config.New() }

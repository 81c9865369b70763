package ctl

import (
	"os"

	"github.com/goccy/go-yaml"

	"lacewingmount.dev/capacity"
)

// CapacityCommand works out what the fleet needs at a size.
type CapacityCommand struct {
	Show CapacityShowCommand `cmd:"" default:"withargs" help:"Show what each role needs at a size."`
	Fit  CapacityFitCommand  `cmd:"" help:"Turn measurements of scripts/slopes.sh into slopes."`
}

// CapacityShowCommand shows what each role needs.
type CapacityShowCommand struct {
	capacity.Size
	Today bool `help:"Take the size of one partner today instead."`
}

// Run implements the command.
func (c *CapacityShowCommand) Run(env *Env) error {
	slopes, err := capacity.Embedded()
	if err != nil {
		return err
	}
	size := c.Size
	if c.Today {
		size = capacity.Today()
	}
	capacity.WriteText(env.Out, capacity.Estimate(slopes, size, capacity.Budget()))
	return nil
}

// CapacityFitCommand prints slopes.
type CapacityFitCommand struct {
	Measurements string `arg:"" type:"existingfile" help:"Output of scripts/slopes.sh."`
}

// Run implements the command.
func (c *CapacityFitCommand) Run(env *Env) error {
	file, err := os.Open(c.Measurements)
	if err != nil {
		return err
	}
	defer file.Close()
	slopes, err := capacity.Fit(file)
	if err != nil {
		return err
	}
	content, err := yaml.Marshal(slopes)
	if err != nil {
		return err
	}
	_, err = env.Out.Write(content)
	return err
}

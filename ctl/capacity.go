package ctl

import (
	"os"

	"github.com/goccy/go-yaml"

	"lacewingmount.dev/capacity"
)

// CapacityCommand estimates the resource use of the fleet.
type CapacityCommand struct {
	Show CapacityShowCommand `cmd:"" default:"withargs" help:"Show the estimated resource use of each role for a fleet size."`
	Fit  CapacityFitCommand  `cmd:"" help:"Fit the slopes of the estimate to measurements of scripts/slopes.sh."`
}

// CapacityShowCommand prints the estimated resource use of each role.
type CapacityShowCommand struct {
	capacity.Size
	Today bool `help:"Use the present size of one partner (48 VMs) and ignore the size flags."`
}

// Run implements the command.
func (c *CapacityShowCommand) Run(env *Env) error {
	slopes, err := capacity.EmbeddedSlopes()
	if err != nil {
		return err
	}
	size := c.Size
	if c.Today {
		size = capacity.Today()
	}
	capacity.WriteText(env.Out, capacity.Estimate(slopes, size, capacity.RequiredLimits()))
	return nil
}

// CapacityFitCommand prints, as YAML, the slopes fitted to measurements.
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

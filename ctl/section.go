package ctl

import (
	"os"

	"github.com/goccy/go-yaml"

	"lacewingmount.dev/config"
	"lacewingmount.dev/daemon"
)

// GenerateCommand generates a partner's section from its questionnaire.
type GenerateCommand struct {
	Questionnaire string `arg:"" type:"existingfile" help:"Questionnaire in YAML."`
	Output        string `short:"o" default:"-" help:"File to write the section to; - for standard output."`
}

// Run implements the command.
func (c *GenerateCommand) Run(env *Env) error {
	var answers config.Questionnaire
	if err := daemon.LoadYAML(c.Questionnaire, &answers); err != nil {
		return err
	}
	section, err := config.Generate(answers)
	if err != nil {
		return err
	}
	content, err := yaml.Marshal(section)
	if err != nil {
		return err
	}
	if c.Output == "-" {
		_, err = env.Out.Write(content)
		return err
	}
	return os.WriteFile(c.Output, content, 0o644)
}

// ValidateCommand checks each section by itself and all of them together.
type ValidateCommand struct {
	Sections []string `arg:"" type:"existingfile" help:"Sections in YAML, each of a different partner."`
}

// Run implements the command.
func (c *ValidateCommand) Run(env *Env) error {
	document := &config.Document{}
	for _, path := range c.Sections {
		section, err := loadSection(path)
		if err != nil {
			return err
		}
		document = document.WithSection(section)
	}
	if err := document.Validate(); err != nil {
		return err
	}
	env.printf("valid: %d sections\n", len(document.Sections))
	return nil
}

// DiffCommand shows what applying a section would change.
type DiffCommand struct {
	StoreFlags
	Section string `arg:"" type:"existingfile" help:"Section in YAML."`
}

// Run implements the command.
func (c *DiffCommand) Run(env *Env) error {
	section, err := loadSection(c.Section)
	if err != nil {
		return err
	}
	current, err := readDocument(env.Context, c.open())
	if err != nil {
		return err
	}
	keepOperatorAndKeys(&section, current.document.Section(section.Partner))
	changes := config.Diff(current.document.Section(section.Partner), &section)
	for _, change := range changes {
		env.printf("%s\n", change)
	}
	env.printf("%d changes against revision %d\n", len(changes), current.document.Revision)
	env.printf("to put them in force: apply --base %d\n", current.document.Revision)
	return nil
}

// loadSection reads a section from a YAML file.
func loadSection(path string) (config.Section, error) {
	var section config.Section
	err := daemon.LoadYAML(path, &section)
	return section, err
}

// keepOperatorAndKeys copies the operator's public key and the client keys, which a
// generated section does not contain, from the old section.
func keepOperatorAndKeys(section *config.Section, old *config.Section) {
	if old == nil {
		return
	}
	section.Operator = old.Operator
	section.Keys = old.Keys
}

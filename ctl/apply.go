package ctl

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/wire"
)

// latest as a base overwrites whatever is in force.
const latest = "latest"

// ApplyCommand puts a section in force.
type ApplyCommand struct {
	StoreFlags
	Section string        `arg:"" type:"existingfile" help:"Section in YAML."`
	Base    string        `help:"Revision that the section was compared with, as diff prints it, or latest to overwrite whatever is in force. Needed once the partner has a section." placeholder:"REVISION"`
	Wait    time.Duration `default:"5s" help:"How long to wait until every VM has it in force."`
}

// Run implements the command.
func (c *ApplyCommand) Run(env *Env) error {
	wanted, err := loadSection(c.Section)
	if err != nil {
		return err
	}
	edit := (&application{wanted: wanted, base: c.Base}).edit
	change, err := newChange(wanted.Partner, c.Credential, edit)
	if err != nil {
		return err
	}
	revision, err := change.commit(env.Context, c.open())
	if err != nil {
		return err
	}
	env.printf("accepted as revision %d, change %s\n", revision, change.id)
	return awaitRevision(env, c.StoreFlags, revision, c.Wait)
}

// awaitRevision reports VM by VM when it has the revision in force.
func awaitRevision(env *Env, flags StoreFlags, revision uint64, wait time.Duration) error {
	vms, err := dialVMs(env.Context, flags.open(), flags.Agent)
	if err != nil {
		return err
	}
	defer closeVMs(vms)
	return awaitAll(env, vms, wait, wire.StatusRequest{}, "in force", inForce(revision))
}

// application makes a section the partner's, on the state that the operator saw.
type application struct {
	wanted config.Section
	base   string
	seen   *config.Section // as the first attempt found it
	began  bool
}

// edit applies the section. A later attempt meets changes that others made in
// between: those of other items are kept, one of the same item is a conflict.
func (a *application) edit(section *config.Section, id string, next uint64) error {
	present := *section
	if present.Revision == 0 {
		present = config.Section{}
	}
	if !a.began {
		if err := a.checkBase(present); err != nil {
			return err
		}
		a.began, a.seen = true, &present
	}
	merged, overlapping := config.Merge(a.seen, &a.wanted, section)
	if len(overlapping) > 0 {
		return errs.New(errs.Conflict, fmt.Sprintf("change %s in revision %d also changed %s",
			section.Applied.ID, section.Applied.Revision, strings.Join(overlapping, ", ")), "run diff and apply again on the new revision")
	}
	*section = merged
	section.Applied = config.Change{Revision: next, ID: id, Partner: section.Partner}
	return nil
}

// checkBase refuses to overwrite what the operator has not seen.
func (a *application) checkBase(present config.Section) error {
	if a.base == latest || present.Revision == 0 {
		return nil
	}
	standing := fmt.Sprintf("the section of %s was applied in revision %d by change %s", present.Partner, present.Applied.Revision, present.Applied.ID)
	if a.base == "" {
		return errs.New(errs.Conflict, standing, "run diff, then apply with --base and the revision that diff printed")
	}
	base, err := strconv.ParseUint(a.base, 10, 64)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "--base "+a.base, "pass the revision that diff printed, or latest")
	}
	if base < present.Applied.Revision {
		return errs.New(errs.Conflict, standing+", after the base "+a.base, "run diff to see that change, then apply with the revision that diff printed")
	}
	return nil
}

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

// latestBase is the value of --base that skips the check for changes which the
// operator has not seen.
const latestBase = "latest"

// ApplyCommand applies a partner's section and waits until every VM uses it.
type ApplyCommand struct {
	StoreFlags
	Section string        `arg:"" type:"existingfile" help:"Section in YAML."`
	Base    string        `help:"Revision that the section was compared with, as printed by diff, or latest to skip the check for newer changes. Required if the partner already has a section." placeholder:"REVISION"`
	Wait    time.Duration `default:"5s" help:"How long to wait until every VM uses the section."`
}

// Run implements the command.
func (c *ApplyCommand) Run(env *Env) error {
	desired, err := loadSection(c.Section)
	if err != nil {
		return err
	}
	edit := (&sectionMerge{desired: desired, base: c.Base}).edit
	change, err := newChange(desired.Partner, c.Credential, edit)
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

// awaitRevision waits until every VM uses the revision, and prints a line for each
// VM that does. It fails with kind Unavailable after wait.
func awaitRevision(env *Env, flags StoreFlags, revision uint64, wait time.Duration) error {
	vms, err := dialVMs(env.Context, flags.open(), flags.Agent)
	if err != nil {
		return err
	}
	defer closeVMs(vms)
	return awaitAll(env, vms, wait, wire.StatusRequest{}, "in force", inForce(revision))
}

// sectionMerge merges the section that the operator wants into the partner's
// section in the store.
type sectionMerge struct {
	desired     config.Section
	base        string
	ancestor    *config.Section // the partner's section as the first attempt read it
	baseChecked bool
}

// edit merges the desired section into section. If another operator changed the
// section since the first attempt, changes to other items are kept, and a change to
// the same item is an error of kind Conflict.
func (m *sectionMerge) edit(section *config.Section, id string, next uint64) error {
	current := *section
	if current.Revision == 0 {
		current = config.Section{}
	}
	if !m.baseChecked {
		if err := m.checkBase(current); err != nil {
			return err
		}
		m.baseChecked, m.ancestor = true, &current
	}
	merged, conflicts := config.Merge(m.ancestor, &m.desired, section)
	if len(conflicts) > 0 {
		return errs.New(errs.Conflict, fmt.Sprintf("change %s in revision %d also changed %s",
			section.Applied.ID, section.Applied.Revision, strings.Join(conflicts, ", ")), "run diff and apply again on the new revision")
	}
	*section = merged
	section.Applied = config.Change{Revision: next, ID: id, Partner: section.Partner}
	return nil
}

// checkBase returns an error of kind Conflict if the section changed after the base
// revision, or if no base was given and the partner already has a section.
func (m *sectionMerge) checkBase(current config.Section) error {
	if m.base == latestBase || current.Revision == 0 {
		return nil
	}
	lastChange := fmt.Sprintf("the section of %s was applied in revision %d by change %s", current.Partner, current.Applied.Revision, current.Applied.ID)
	if m.base == "" {
		return errs.New(errs.Conflict, lastChange, "run diff, then apply with --base and the revision printed by diff")
	}
	base, err := strconv.ParseUint(m.base, 10, 64)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "invalid revision in --base "+m.base, "pass the revision printed by diff, or latest")
	}
	if base < current.Applied.Revision {
		return errs.New(errs.Conflict, lastChange+", after the base "+m.base, "run diff to see that change, then apply with the revision printed by diff")
	}
	return nil
}

package ctl

import (
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
)

// CredentialCommand creates and replaces operator credentials.
type CredentialCommand struct {
	New    CredentialNewCommand    `cmd:"" help:"Print a random credential and its public key."`
	Rotate CredentialRotateCommand `cmd:"" help:"Replace a partner's credential."`
}

// CredentialNewCommand prints a new random credential and its public key.
type CredentialNewCommand struct{}

// Run implements the command.
func (CredentialNewCommand) Run(env *Env) error {
	credential := keys.New()
	operator, err := keys.NewOperator(credential)
	if err != nil {
		return err
	}
	env.printf("credential %s\npublic key %s\n", credential, operator.Public())
	return nil
}

// CredentialRotateCommand replaces a partner's credential.
type CredentialRotateCommand struct {
	StoreFlags
	Partner string        `required:"" help:"Partner whose credential is replaced."`
	Next    string        `required:"" help:"New credential." env:"LACEWING_NEXT_CREDENTIAL" placeholder:"TEXT"`
	Wait    time.Duration `default:"5s" help:"How long to wait until every VM knows the new credential."`
}

// Run implements the command.
func (c *CredentialRotateCommand) Run(env *Env) error {
	from, err := keys.NewOperator(c.Credential)
	if err != nil {
		return err
	}
	to, err := keys.NewOperator(c.Next)
	if err != nil {
		return err
	}
	if from.Public() == to.Public() {
		return errs.New(errs.Invalid, "the new credential is the same as the current one", "pass a different one with --next or LACEWING_NEXT_CREDENTIAL")
	}
	change, err := newChange(c.Partner, c.Credential, func(section *config.Section, _ string, _ uint64) error {
		section.Rotate(from, to)
		return nil
	})
	if err != nil {
		return err
	}
	change.signer = to
	revision, err := change.commit(env.Context, c.open())
	if err != nil {
		return err
	}
	env.printf("rotated in revision %d\n", revision)
	return awaitRevision(env, c.StoreFlags, revision, c.Wait)
}

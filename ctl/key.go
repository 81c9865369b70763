package ctl

import (
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
)

// KeyCommand grants and withdraws client keys.
type KeyCommand struct {
	Grant    KeyGrantCommand    `cmd:"" help:"Grant a new key to a client account; it is shown once."`
	Withdraw KeyWithdrawCommand `cmd:"" help:"Withdraw a key for good."`
}

// KeyGrantCommand grants a new key.
type KeyGrantCommand struct {
	StoreFlags
	Partner string        `required:"" help:"Partner that the client account belongs to."`
	Account string        `required:"" help:"Client account."`
	Wait    time.Duration `default:"5s" help:"How long to wait until every VM knows the key."`
}

// Run implements the command.
func (c *KeyGrantCommand) Run(env *Env) error {
	key := keys.New()
	store := c.open()
	revision, err := changeSection(env.Context, store, c.Partner, c.Credential, func(section *config.Section) error {
		section.Keys = append(section.Keys, config.Key{Account: c.Account, Hash: keys.Hash(key)})
		return nil
	})
	if err != nil {
		return err
	}
	env.printf("%s\n", key)
	quiet := &Env{Context: env.Context, Out: discard{}}
	return awaitRevision(quiet, store, revision, c.Wait)
}

// KeyWithdrawCommand withdraws a key.
type KeyWithdrawCommand struct {
	StoreFlags
	Partner string        `required:"" help:"Partner that the key belongs to."`
	Key     string        `xor:"which" required:"" help:"The key itself."`
	Hash    string        `xor:"which" required:"" help:"Hash of the key."`
	Wait    time.Duration `default:"5s" help:"How long to wait until every VM refuses the key."`
}

// Run implements the command.
func (c *KeyWithdrawCommand) Run(env *Env) error {
	hash := c.Hash
	if hash == "" {
		hash = keys.Hash(c.Key)
	}
	store := c.open()
	revision, err := changeSection(env.Context, store, c.Partner, c.Credential, func(section *config.Section) error {
		return withdraw(section, hash)
	})
	if err != nil {
		return err
	}
	env.printf("withdrawn in revision %d\n", revision)
	return awaitRevision(env, store, revision, c.Wait)
}

func withdraw(section *config.Section, hash string) error {
	kept := append([]config.Key(nil), section.Keys...)
	for i := range kept {
		if kept[i].Hash == hash {
			kept[i].Withdrawn = true
			section.Keys = kept
			return nil
		}
	}
	return errs.New(errs.NotFound, section.Partner+" has no such key", "check the key and the partner")
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

package ctl

import (
	"context"
	"sync"
	"time"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
	"lacewingmount.dev/wire"
)

// KeyCommand grants and withdraws client keys.
type KeyCommand struct {
	Grant    KeyGrantCommand    `cmd:"" help:"Grant a new key to a client account; it is printed only once."`
	Withdraw KeyWithdrawCommand `cmd:"" help:"Withdraw a key permanently."`
}

// KeyGrantCommand grants a new key to a client account and prints it.
type KeyGrantCommand struct {
	StoreFlags
	Partner string        `required:"" help:"Partner that the client account belongs to."`
	Account string        `required:"" help:"Client account."`
	Wait    time.Duration `default:"5s" help:"How long to wait until every VM knows the key."`
}

// Run implements the command.
func (c *KeyGrantCommand) Run(env *Env) error {
	key := keys.New()
	change, err := newChange(c.Partner, c.Credential, func(section *config.Section, _ string, _ uint64) error {
		section.Keys = append(section.Keys, config.Key{Account: c.Account, Hash: keys.Hash(key)})
		return nil
	})
	if err != nil {
		return err
	}
	revision, err := change.commit(env.Context, c.open())
	if err != nil {
		return err
	}
	env.printf("%s\n", key)
	withoutOutput := &Env{Context: env.Context, Out: discard{}}
	return awaitRevision(withoutOutput, c.StoreFlags, revision, c.Wait)
}

// KeyWithdrawCommand withdraws a key. It sends the withdrawal to the agents directly,
// so that it works while the store is unavailable. The agents write the withdrawal to
// the store when the store is available again.
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
	operator, err := keys.NewOperator(c.Credential)
	if err != nil {
		return err
	}
	vms, err := dialVMs(env.Context, c.open(), c.Agent)
	if err != nil {
		return err
	}
	defer closeVMs(vms)
	withdrawal := config.NewWithdrawal(c.Partner, hash, operator)
	notified := notifyAgents(env, vms, withdrawal)
	if err := c.record(env, hash); err != nil {
		if notified == 0 || errs.KindOf(err) != errs.Unavailable && errs.KindOf(err) != errs.Ambiguous {
			return err
		}
		env.printf("not in the store yet (%v); the VMs write it when the store is back\n", err)
	}
	return awaitAll(env, vms, c.Wait, wire.StatusRequest{Key: withdrawal}, "withdrawn", keyRefused)
}

// notifyAgents sends the withdrawal to all agents in parallel and returns how many
// accepted it.
func notifyAgents(env *Env, vms []vmClient, withdrawal config.Withdrawal) int {
	accepted := make([]bool, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(env.Context, statusTimeout)
			defer cancel()
			request := wire.Withdrawals{Withdrawals: []config.Withdrawal{withdrawal}}
			accepted[i] = vm.client.Call(ctx, wire.MethodWithdraw, request, nil) == nil
		})
	}
	wg.Wait()
	count := 0
	for _, ok := range accepted {
		if ok {
			count++
		}
	}
	return count
}

// record writes the withdrawal to the store as a change of the partner's section.
func (c *KeyWithdrawCommand) record(env *Env, hash string) error {
	change, err := newChange(c.Partner, c.Credential, func(section *config.Section, _ string, _ uint64) error {
		return markWithdrawn(section, hash)
	})
	if err != nil {
		return err
	}
	revision, err := change.commit(env.Context, c.open())
	if err == nil {
		env.printf("recorded as revision %d, change %s\n", revision, change.id)
	}
	return err
}

// markWithdrawn marks the key as withdrawn in the section.
func markWithdrawn(section *config.Section, hash string) error {
	for i := range section.Keys {
		if section.Keys[i].Hash == hash {
			section.Keys[i].Withdrawn = true
			return nil
		}
	}
	return errs.New(errs.NotFound, section.Partner+" has no key with this hash", "check the key and the partner")
}

// discard is a writer that drops its input.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

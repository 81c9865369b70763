package agent

import (
	"context"
	"encoding/json"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/platform"
	"lacewingmount.dev/wire"
)

const claimPrefix = "claims/"

// claimRecord is the stored form of one claim.
type claimRecord struct {
	State  wire.ClaimState  `json:"state"`
	Digest string           `json:"digest"`
	Kept   *wire.KeptAnswer `json:"kept,omitempty"`
}

// claims records protected requests in the store, one key for each.
type claims struct {
	store platform.Store
}

func newClaims(store platform.Store) *claims { return &claims{store: store} }

func claimKey(request wire.ClaimRequest) string {
	return claimPrefix + request.Account + request.Route + "/" + request.Key
}

// claim grants the request to exactly one caller: the one that creates the key.
func (c *claims) claim(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	record, err := json.Marshal(claimRecord{State: wire.ClaimPending, Digest: request.Digest})
	if err != nil {
		return wire.ClaimAnswer{}, err
	}
	_, err = c.store.CompareAndSwap(ctx, claimKey(request), record, 0, 0)
	if err == nil {
		return wire.ClaimAnswer{State: wire.ClaimGranted}, nil
	}
	if errs.KindOf(err) != errs.Conflict {
		return wire.ClaimAnswer{}, err
	}
	return c.existing(ctx, request)
}

func (c *claims) existing(ctx context.Context, request wire.ClaimRequest) (wire.ClaimAnswer, error) {
	record, _, err := c.read(ctx, request)
	if err != nil {
		return wire.ClaimAnswer{}, err
	}
	if record.Digest != request.Digest {
		return wire.ClaimAnswer{State: wire.ClaimMismatch}, nil
	}
	return wire.ClaimAnswer{State: record.State, Kept: record.Kept}, nil
}

// settle records how a claimed request ended.
func (c *claims) settle(ctx context.Context, request wire.SettleRequest) (wire.SettleAnswer, error) {
	record, version, err := c.read(ctx, request.Claim)
	if err != nil {
		return wire.SettleAnswer{}, err
	}
	if request.NotRun {
		return wire.SettleAnswer{}, c.store.Delete(ctx, claimKey(request.Claim), version)
	}
	record.State, record.Kept = wire.ClaimAnswered, request.Kept
	value, err := json.Marshal(record)
	if err != nil {
		return wire.SettleAnswer{}, err
	}
	_, err = c.store.CompareAndSwap(ctx, claimKey(request.Claim), value, version, 0)
	return wire.SettleAnswer{}, err
}

func (c *claims) read(ctx context.Context, request wire.ClaimRequest) (claimRecord, platform.Version, error) {
	entry, err := c.store.Get(ctx, claimKey(request))
	if err != nil {
		return claimRecord{}, 0, err
	}
	var record claimRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return claimRecord{}, 0, errs.Wrap(err, errs.Invalid, "claim "+entry.Key, "report this as a defect")
	}
	return record, entry.Version, nil
}

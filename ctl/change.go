package ctl

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
	"lacewingmount.dev/platform"
)

// maxChangeAttempts bounds how often a change is reapplied after a conflict.
const maxChangeAttempts = 8

// versioned is the document with the store's version of it.
type versioned struct {
	document *config.Document
	version  platform.Version
}

func readDocument(ctx context.Context, store platform.Store) (versioned, error) {
	entry, err := store.Get(ctx, config.RootKey)
	if errs.KindOf(err) == errs.NotFound {
		return versioned{document: &config.Document{}}, nil
	}
	if err != nil {
		return versioned{}, err
	}
	var document config.Document
	if err := json.Unmarshal(entry.Value, &document); err != nil {
		return versioned{}, errs.Wrap(err, errs.Invalid, "the stored configuration cannot be read", "use a newer lacewingctl")
	}
	return versioned{document: &document, version: entry.Version}, nil
}

// changeSection changes the partner's section by compare-and-swap and returns
// the revision that holds the change. On a conflict it reads the document again
// and reapplies edit.
func changeSection(ctx context.Context, store platform.Store, partner, credential string, edit func(*config.Section) error) (uint64, error) {
	changeID := uuid.NewString()
	for range maxChangeAttempts {
		current, err := readDocument(ctx, store)
		if err != nil {
			return 0, err
		}
		next, err := edited(current.document, partner, credential, edit)
		if err != nil {
			return 0, err
		}
		next.Revision, next.ChangeID = current.document.Revision+1, changeID
		err = writeDocument(ctx, store, next, current.version)
		if errs.KindOf(err) != errs.Conflict {
			return next.Revision, err
		}
	}
	return 0, errs.New(errs.Conflict, "other operators kept changing the configuration", "run the command again")
}

// edited returns a validated copy of the document with the partner's section changed.
func edited(document *config.Document, partner, credential string, edit func(*config.Section) error) (*config.Document, error) {
	section := config.Section{Partner: partner, Operator: keys.Hash(credential)}
	if existing := document.Section(partner); existing != nil {
		section = *existing
	}
	if credential == "" || section.Operator != keys.Hash(credential) {
		return nil, errs.New(errs.Denied, "the credential does not belong to "+partner, "pass that partner's operator credential")
	}
	if err := edit(&section); err != nil {
		return nil, err
	}
	next := document.WithSection(section)
	return next, next.Validate()
}

// writeDocument writes the document and resolves a lost answer by reading back its change id.
func writeDocument(ctx context.Context, store platform.Store, document *config.Document, expect platform.Version) error {
	value, err := json.Marshal(document)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "cannot encode the configuration", "report this as a defect")
	}
	write := func() error {
		_, err := store.CompareAndSwap(ctx, config.RootKey, value, expect, 0)
		return err
	}
	applied := func(ctx context.Context) (bool, error) {
		current, err := readDocument(ctx, store)
		return current.document != nil && current.document.ChangeID == document.ChangeID, err
	}
	return platform.Resolve(ctx, write, applied)
}

package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
	"lacewingmount.dev/metastore"
)

const (
	// maxChangeAttempts bounds how often a change is reapplied after a conflict.
	maxChangeAttempts = 8
	// resolveTimeout bounds how long a lost answer is asked after.
	resolveTimeout = 5 * time.Second
	resolvePeriod  = 100 * time.Millisecond
)

// versioned is the document with the store's version of it.
type versioned struct {
	document *config.Document
	version  metastore.Version
}

func readDocument(ctx context.Context, store metastore.Store) (versioned, error) {
	entry, err := store.Get(ctx, config.RootKey)
	if errs.KindOf(err) == errs.NotFound {
		return versioned{document: &config.Document{}}, nil
	}
	if err != nil {
		return versioned{}, err
	}
	document, err := config.Decode(entry.Value, nil, func(hash string) ([]byte, error) {
		chunk, err := store.Get(ctx, config.ChunkPrefix+hash)
		return chunk.Value, err
	})
	if err != nil {
		return versioned{}, err
	}
	return versioned{document: document, version: entry.Version}, nil
}

// change is one change of a partner's section by its operators.
type change struct {
	id       string
	partner  string
	operator keys.Operator
	signer   keys.Operator // of the changed section; another one when the credential is rotated
	// edit changes the section; on the first attempt and again after a conflict.
	edit func(section *config.Section, id string, next uint64) error
}

func newChange(partner, credential string, edit func(section *config.Section, id string, next uint64) error) (*change, error) {
	if credential == "" {
		return nil, errs.New(errs.Denied, "no operator credential", "set LACEWING_CREDENTIAL to that of "+partner)
	}
	operator, err := keys.NewOperator(credential)
	if err != nil {
		return nil, err
	}
	return &change{id: uuid.NewString(), partner: partner, operator: operator, signer: operator, edit: edit}, nil
}

// commit makes the change by compare-and-swap and returns the revision that holds
// it. After a conflict it reads the document again; if the change is there already,
// by an earlier write whose answer was lost, it is not made twice.
func (c *change) commit(ctx context.Context, store metastore.Store) (uint64, error) {
	for range maxChangeAttempts {
		current, err := readDocument(ctx, store)
		if err != nil {
			return 0, err
		}
		if made, ok := current.document.Change(c.id); ok {
			return made.Revision, nil
		}
		next, err := c.next(current.document)
		if err != nil {
			return 0, err
		}
		err = c.write(ctx, store, current, next)
		if err == nil {
			return next.Revision, nil
		}
		if errs.KindOf(err) != errs.Conflict {
			return 0, err
		}
	}
	return 0, errs.New(errs.Conflict, "other operators kept changing the configuration", "run the command again")
}

// next returns the document with the change made and the section signed.
func (c *change) next(document *config.Document) (*config.Document, error) {
	next := document.WithChange(c.id, c.partner)
	section := config.Section{Partner: c.partner, Operator: c.operator.Public()}
	if existing := document.Section(c.partner); existing != nil {
		section = *existing
	}
	if section.Operator != c.operator.Public() {
		return nil, errs.New(errs.Denied, "the credential does not belong to "+c.partner, "pass that partner's operator credential")
	}
	next.MoveWithdrawals(&section)
	if err := c.edit(&section, c.id, next.Revision); err != nil {
		return nil, err
	}
	section.Revision = next.Revision
	if err := section.SignWith(c.signer); err != nil {
		return nil, err
	}
	next = next.WithSection(section)
	return next, config.Verify(document, next)
}

// write puts the document into the store: first the chunks that are not there,
// then the root. It fails with kind Conflict if another writer was faster.
func (c *change) write(ctx context.Context, store metastore.Store, current versioned, next *config.Document) error {
	stored, err := next.Encode()
	if err != nil {
		return err
	}
	present, err := presentChunks(current.document)
	if err != nil {
		return err
	}
	for hash, chunk := range stored.Chunks {
		if _, ok := present[hash]; ok {
			continue
		}
		if err := putChunk(ctx, store, hash, chunk); err != nil {
			return err
		}
	}
	unused := unusedChunks(ctx, store, present, stored.Chunks)
	_, err = store.CompareAndSwap(ctx, config.RootKey, stored.Root, current.version, 0)
	if errs.KindOf(err) == errs.Ambiguous {
		err = c.resolve(ctx, store, err)
	}
	if err != nil {
		return err
	}
	for key, version := range unused {
		_ = store.Delete(ctx, key, version) // one that stays costs room only
	}
	return nil
}

// unusedChunks returns the store keys and versions of the chunks that only the
// present document needs. An operator who needs one again writes it anew, so that
// its version is another one by then.
func unusedChunks(ctx context.Context, store metastore.Store, present, next map[string][]byte) map[string]metastore.Version {
	unused := map[string]metastore.Version{}
	for hash := range present {
		if _, used := next[hash]; used {
			continue
		}
		if entry, err := store.Get(ctx, config.ChunkPrefix+hash); err == nil {
			unused[entry.Key] = entry.Version
		}
	}
	return unused
}

// resolve finds out whether a write whose answer was lost took effect. As long as
// the document is the old one, the write may still arrive.
func (c *change) resolve(ctx context.Context, store metastore.Store, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for {
		current, err := readDocument(ctx, store)
		if err == nil {
			if _, made := current.document.Change(c.id); made {
				return nil
			}
			return errs.Wrap(cause, errs.Conflict, "the write did not take effect", "it is made again")
		}
		select {
		case <-ctx.Done():
			return errs.Wrap(cause, errs.Ambiguous,
				fmt.Sprintf("change %s may have been accepted or not: its answer was lost and the store does not answer", c.id),
				"run status when the store is back")
		case <-time.After(resolvePeriod):
		}
	}
}

// presentChunks returns the chunks that the document keeps in the store.
func presentChunks(document *config.Document) (map[string][]byte, error) {
	if document.Revision == 0 {
		return nil, nil
	}
	stored, err := document.Encode()
	return stored.Chunks, err
}

// putChunk makes sure that the store has the chunk, and raises its version, so
// that an operator who is removing it as unused notices.
func putChunk(ctx context.Context, store metastore.Store, hash string, chunk []byte) error {
	for range maxChangeAttempts {
		var version metastore.Version
		entry, err := store.Get(ctx, config.ChunkPrefix+hash)
		switch errs.KindOf(err) {
		case errs.NotFound:
		default:
			if err != nil {
				return err
			}
			version = entry.Version
		}
		_, err = store.CompareAndSwap(ctx, config.ChunkPrefix+hash, chunk, version, 0)
		if err == nil {
			return nil
		}
		if errs.KindOf(err) != errs.Conflict && errs.KindOf(err) != errs.Ambiguous {
			return err
		}
	}
	return errs.New(errs.Unavailable, "chunk "+hash+" could not be written", "run the command again")
}

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
	// maxChangeAttempts is the maximum number of attempts to write a change or a
	// chunk while other operators write as well.
	maxChangeAttempts = 8
	// resolveTimeout is how long to keep reading the document to find out whether a
	// write took effect whose response was lost.
	resolveTimeout      = 5 * time.Second
	resolvePollInterval = 100 * time.Millisecond
)

// storedDocument is the configuration document and its version in the store.
type storedDocument struct {
	document *config.Document
	version  metastore.Version
}

// readDocument reads the document and its chunks. If the store has none, it returns
// an empty document with version 0.
func readDocument(ctx context.Context, store metastore.Store) (storedDocument, error) {
	entry, err := store.Get(ctx, config.RootKey)
	if errs.KindOf(err) == errs.NotFound {
		return storedDocument{document: &config.Document{}}, nil
	}
	if err != nil {
		return storedDocument{}, err
	}
	document, err := config.Decode(entry.Value, nil, func(hash string) ([]byte, error) {
		chunk, err := store.Get(ctx, config.ChunkPrefix+hash)
		return chunk.Value, err
	})
	if err != nil {
		return storedDocument{}, err
	}
	return storedDocument{document: document, version: entry.Version}, nil
}

// change is one change of a partner's section by an operator.
type change struct {
	id       string
	partner  string
	operator keys.Operator
	signer   keys.Operator // signs the changed section; the new operator when the credential is rotated
	// edit changes the section. It is called for each attempt, with the id of the
	// change and the revision of the next document.
	edit func(section *config.Section, id string, next uint64) error
}

func newChange(partner, credential string, edit func(section *config.Section, id string, next uint64) error) (*change, error) {
	if credential == "" {
		return nil, errs.New(errs.Denied, "no operator credential", "set LACEWING_CREDENTIAL to the operator credential of "+partner)
	}
	operator, err := keys.NewOperator(credential)
	if err != nil {
		return nil, err
	}
	return &change{id: uuid.NewString(), partner: partner, operator: operator, signer: operator, edit: edit}, nil
}

// commit writes the change by compare-and-swap and returns the revision that
// contains it. After a conflict it reads the document again. If the document already
// contains the change, because an earlier write took effect although its response
// was lost, the change is not applied twice.
func (c *change) commit(ctx context.Context, store metastore.Store) (uint64, error) {
	for range maxChangeAttempts {
		current, err := readDocument(ctx, store)
		if err != nil {
			return 0, err
		}
		if recorded, ok := current.document.Change(c.id); ok {
			return recorded.Revision, nil
		}
		nextDocument, err := c.nextDocument(current.document)
		if err != nil {
			return 0, err
		}
		err = c.write(ctx, store, current, nextDocument)
		if err == nil {
			return nextDocument.Revision, nil
		}
		if errs.KindOf(err) != errs.Conflict {
			return 0, err
		}
	}
	return 0, errs.New(errs.Conflict, "the change was not written: other operators changed the configuration during each attempt", "run the command again")
}

// nextDocument returns the document with the change applied and the section signed.
func (c *change) nextDocument(document *config.Document) (*config.Document, error) {
	nextDocument := document.WithChange(c.id, c.partner)
	section := config.Section{Partner: c.partner, Operator: c.operator.Public()}
	if existing := document.Section(c.partner); existing != nil {
		section = *existing
	}
	if section.Operator != c.operator.Public() {
		return nil, errs.New(errs.Denied, "the credential does not belong to "+c.partner, "set LACEWING_CREDENTIAL to that partner's operator credential")
	}
	nextDocument.FoldWithdrawals(&section)
	if err := c.edit(&section, c.id, nextDocument.Revision); err != nil {
		return nil, err
	}
	section.Revision = nextDocument.Revision
	if err := section.Seal(c.signer); err != nil {
		return nil, err
	}
	nextDocument = nextDocument.WithSection(section)
	return nextDocument, config.Verify(document, nextDocument)
}

// write writes the document to the store: first the chunks that the current document
// does not have, then the root. It fails with kind Conflict if the root has changed
// since current was read.
func (c *change) write(ctx context.Context, store metastore.Store, current storedDocument, next *config.Document) error {
	stored, err := next.Encode()
	if err != nil {
		return err
	}
	currentChunks, err := storedChunks(current.document)
	if err != nil {
		return err
	}
	for hash, chunk := range stored.Chunks {
		if _, ok := currentChunks[hash]; ok {
			continue
		}
		if err := putChunk(ctx, store, hash, chunk); err != nil {
			return err
		}
	}
	unused := unusedChunks(ctx, store, currentChunks, stored.Chunks)
	_, err = store.CompareAndSwap(ctx, config.RootKey, stored.Root, current.version, 0)
	if errs.KindOf(err) == errs.Ambiguous {
		err = c.resolveAmbiguous(ctx, store, err)
	}
	if err != nil {
		return err
	}
	for key, version := range unused {
		_ = store.Delete(ctx, key, version) // an unused chunk that remains only takes up space
	}
	return nil
}

// unusedChunks returns the store keys and versions of the chunks that the current
// document uses and the next one does not. An operator whose document uses such a
// chunk writes it again, which raises its version, so that deleting the version
// returned here fails.
func unusedChunks(ctx context.Context, store metastore.Store, current, next map[string][]byte) map[string]metastore.Version {
	unused := map[string]metastore.Version{}
	for hash := range current {
		if _, used := next[hash]; used {
			continue
		}
		if entry, err := store.Get(ctx, config.ChunkPrefix+hash); err == nil {
			unused[entry.Key] = entry.Version
		}
	}
	return unused
}

// resolveAmbiguous finds out whether a write took effect whose response was lost. It
// returns nil if the document contains the change, and an error of kind Conflict if
// it does not. In the second case the write may still arrive later, so the caller
// has to read the document again and look for the change.
func (c *change) resolveAmbiguous(ctx context.Context, store metastore.Store, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for {
		current, err := readDocument(ctx, store)
		if err == nil {
			if _, recorded := current.document.Change(c.id); recorded {
				return nil
			}
			return errs.Wrap(cause, errs.Conflict, "the write did not take effect", "it is tried again")
		}
		select {
		case <-ctx.Done():
			return errs.Wrap(cause, errs.Ambiguous,
				fmt.Sprintf("change %s may or may not have been accepted: the response to the write was lost and the store cannot be read", c.id),
				"run status when the store is available again")
		case <-time.After(resolvePollInterval):
		}
	}
}

// storedChunks returns the chunks of the document, by hash, or nil if the document
// is empty.
func storedChunks(document *config.Document) (map[string][]byte, error) {
	if document.Revision == 0 {
		return nil, nil
	}
	stored, err := document.Encode()
	return stored.Chunks, err
}

// putChunk writes the chunk even if the store has it already. This raises its
// version, so that a concurrent delete by an operator who no longer uses it fails.
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

package agent

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/timeline"
)

// adopter decides which documents this VM puts in force. Its revision only rises.
type adopter struct {
	mu       sync.Mutex // held while one document is fetched, verified and adopted
	rejected rejection
}

// rejection remembers a document that was refused.
type rejection struct {
	mu     sync.Mutex
	reason string
}

func (r *rejection) set(reason string) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed = r.reason != reason
	r.reason = reason
	return changed
}

func (r *rejection) get() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason
}

// fetchChunks returns chunks of a document by their hashes.
type fetchChunks func(ctx context.Context, hashes []string) (map[string][]byte, error)

// adopt verifies a document and puts it in force if it is newer than the present
// one. It fails if the document was refused or could not be fetched whole.
func (a *Agent) adopt(ctx context.Context, root []byte, fetch fetchChunks, source string) error {
	a.adopter.mu.Lock()
	defer a.adopter.mu.Unlock()
	present, _ := a.state.held()
	document, err := a.load(ctx, present, root, fetch)
	if err == nil && present != nil && document.Revision == present.Revision && document.ChangeID() == present.ChangeID() {
		return nil
	}
	if err == nil {
		err = a.acceptable(present, document)
	}
	if err != nil {
		a.reject(err, source)
		return err
	}
	a.adopter.rejected.set("")
	if a.state.setDocument(document, document.ToStored(root)) {
		a.events.Add(timeline.Event{Kind: timeline.KindConfigured, Revision: document.Revision, Reason: "from " + source})
		a.log.Info("configured", zap.Uint64("revision", document.Revision), zap.String("source", source))
	}
	return nil
}

func (a *Agent) load(ctx context.Context, present *config.Document, root []byte, fetch fetchChunks) (*config.Document, error) {
	missing, err := config.MissingChunks(root, present)
	if err != nil {
		return nil, err
	}
	chunks := map[string][]byte{}
	if len(missing) > 0 {
		if chunks, err = fetch(ctx, missing); err != nil {
			return nil, err
		}
	}
	return config.Decode(root, present, config.Stored{Chunks: chunks}.Fetch)
}

// acceptable reports why the document may not take the place of the present one.
func (a *Agent) acceptable(present, document *config.Document) error {
	if present != nil && document.Revision <= present.Revision {
		return errs.New(errs.Conflict, "an older or another document of the same revision was offered", "apply the section again on the newest revision")
	}
	if err := document.VerifyPinned(a.settings.Operators); err != nil {
		return err
	}
	return config.Verify(present, document)
}

func (a *Agent) reject(err error, source string) {
	switch errs.KindOf(err) {
	case errs.Unavailable, errs.Ambiguous, errs.NotFound, errs.Conflict:
		return // not fetched whole, or old
	}
	if a.adopter.rejected.set(err.Error()) {
		a.events.Add(timeline.Event{Kind: timeline.KindConfigRejected, Reason: err.Error()})
		a.log.Error("configuration rejected", zap.String("source", source), zap.Error(err))
	}
}

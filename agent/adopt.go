package agent

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/timeline"
)

// adopter serializes the adoption of configuration documents. The adopted revision
// never decreases.
type adopter struct {
	mu            sync.Mutex // held while one document is fetched, verified and adopted
	lastRejection rejection
}

// rejection records why the last invalid document was rejected.
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

// chunkFetcher returns chunks of a document, by hash.
type chunkFetcher func(ctx context.Context, hashes []string) (map[string][]byte, error)

// adopt verifies a document and applies it if it is newer than the current one. It
// fails if the document was rejected or could not be fetched completely.
func (a *Agent) adopt(ctx context.Context, root []byte, fetch chunkFetcher, source string) error {
	a.adopter.mu.Lock()
	defer a.adopter.mu.Unlock()
	current, _ := a.state.configuration()
	document, err := a.loadDocument(ctx, current, root, fetch)
	if err == nil && current != nil && document.Revision == current.Revision && document.ChangeID() == current.ChangeID() {
		return nil
	}
	if err == nil {
		err = a.checkReplacement(current, document)
	}
	if err != nil {
		a.recordRejection(err, source)
		return err
	}
	a.adopter.lastRejection.set("")
	if a.state.setDocument(document, document.ToStored(root)) {
		a.events.Add(timeline.Event{Kind: timeline.KindConfigured, Revision: document.Revision, Reason: "from " + source})
		a.log.Info("configured", zap.Uint64("revision", document.Revision), zap.String("source", source))
	}
	return nil
}

// loadDocument decodes a document; it reuses the chunks of the current one and
// fetches the others.
func (a *Agent) loadDocument(ctx context.Context, current *config.Document, root []byte, fetch chunkFetcher) (*config.Document, error) {
	missing, err := config.MissingChunks(root, current)
	if err != nil {
		return nil, err
	}
	chunks := map[string][]byte{}
	if len(missing) > 0 {
		if chunks, err = fetch(ctx, missing); err != nil {
			return nil, err
		}
	}
	return config.Decode(root, current, config.Stored{Chunks: chunks}.Fetch)
}

// checkReplacement returns why the document must not replace the current one, or nil.
func (a *Agent) checkReplacement(current, document *config.Document) error {
	if current != nil && document.Revision <= current.Revision {
		return errs.New(errs.Conflict, "an older or another document of the same revision was offered", "apply the section again on the newest revision")
	}
	if err := document.VerifyPinned(a.settings.Operators); err != nil {
		return err
	}
	return config.Verify(current, document)
}

// recordRejection logs and reports that a document is invalid.
func (a *Agent) recordRejection(err error, source string) {
	switch errs.KindOf(err) {
	case errs.Unavailable, errs.Ambiguous, errs.NotFound, errs.Conflict:
		return // incomplete or outdated, not invalid
	}
	if a.adopter.lastRejection.set(err.Error()) {
		a.events.Add(timeline.Event{Kind: timeline.KindConfigRejected, Reason: err.Error()})
		a.log.Error("configuration rejected", zap.String("source", source), zap.Error(err))
	}
}

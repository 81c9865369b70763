package config

import (
	"encoding/json"

	"lacewingmount.dev/errs"
)

// Keys of the platform's store.
const (
	// RootKey is the store key of the document's root.
	RootKey = "config/root"
	// ChunkPrefix followed by a hash is the store key of a chunk.
	ChunkPrefix = "config/chunk/"
)

// maxInlineBytes is the maximum total size of chunks that are stored in the root
// itself. The chunks of a larger document are stored under keys of their own.
const maxInlineBytes = 256 << 10

// Stored is a document in the encoded form that is stored and sent between
// processes. Agents forward it unchanged, so that signatures stay valid and fields
// that only a newer version knows are kept.
type Stored struct {
	Root   []byte            `json:"root"`
	Chunks map[string][]byte `json:"chunks,omitempty"` // by hash, without those in the root
}

// root is encoded as JSON in Stored.Root.
type root struct {
	Revision    uint64            `json:"revision"`
	Changes     []Change          `json:"changes,omitempty"`
	Withdrawals []Withdrawal      `json:"withdrawals,omitempty"`
	Sections    []signedSection   `json:"sections"`
	Inline      map[string][]byte `json:"inline,omitempty"` // chunks by hash
}

// signedSection is the signed form of a section without its chunks.
type signedSection struct {
	Header    []byte `json:"header"`
	Signature []byte `json:"signature"`
}

// Encode returns the stored form. It fails with kind Invalid unless every section
// is signed.
func (d *Document) Encode() (Stored, error) {
	encoded := root{Revision: d.Revision, Changes: d.Changes, Withdrawals: d.Withdrawals}
	chunks, size := map[string][]byte{}, 0
	for i := range d.Sections {
		section := &d.Sections[i]
		if section.signedForm == nil {
			return Stored{}, errs.New(errs.Invalid, "section "+section.Partner+" is not signed", "apply it with its operators' credential")
		}
		encoded.Sections = append(encoded.Sections, signedSection{Header: section.signedForm.header, Signature: section.signedForm.signature})
		for hash, chunk := range section.signedForm.chunks {
			chunks[hash] = chunk
			size += len(chunk)
		}
	}
	if size <= maxInlineBytes {
		encoded.Inline, chunks = chunks, nil
	}
	content, err := json.Marshal(encoded)
	if err != nil {
		return Stored{}, errs.Wrap(err, errs.Invalid, "cannot encode the configuration", "report this as a defect")
	}
	return Stored{Root: content, Chunks: chunks}, nil
}

// Fetch returns the content of a chunk by its hash.
type Fetch func(hash string) ([]byte, error)

// Fetch returns a chunk of Chunks. It fails with kind NotFound if there is none.
func (s Stored) Fetch(hash string) ([]byte, error) {
	chunk, ok := s.Chunks[hash]
	if !ok {
		return nil, errs.New(errs.NotFound, "no chunk "+hash, "fetch the configuration again")
	}
	return chunk, nil
}

// Decode decodes the root of a document. It reuses sections that are unchanged
// since previous, which may be nil, and calls fetch for the chunks that neither
// previous nor the root contains. It checks the chunks against their hashes, but
// no signature; see Verify.
func Decode(content []byte, previous *Document, fetch Fetch) (*Document, error) {
	var stored root
	if err := json.Unmarshal(content, &stored); err != nil {
		return nil, unreadable(err)
	}
	source := chunkSource{inline: stored.Inline, previous: previous, fetch: fetch}
	document := &Document{Revision: stored.Revision, Changes: stored.Changes, Withdrawals: stored.Withdrawals}
	for _, signed := range stored.Sections {
		section, err := source.section(signed)
		if err != nil {
			return nil, err
		}
		document.Sections = append(document.Sections, section)
	}
	return document, nil
}

// MissingChunks returns the hashes of the chunks that neither the root nor previous
// contains. previous may be nil.
func MissingChunks(content []byte, previous *Document) ([]string, error) {
	var stored root
	if err := json.Unmarshal(content, &stored); err != nil {
		return nil, unreadable(err)
	}
	source := chunkSource{inline: stored.Inline, previous: previous}
	var missing []string
	for _, signed := range stored.Sections {
		var head header
		if err := json.Unmarshal(signed.Header, &head); err != nil {
			return nil, unreadable(err)
		}
		for _, hash := range head.Chunks {
			if _, ok := source.localChunk(head.Partner, hash); !ok {
				missing = append(missing, hash)
			}
		}
	}
	return missing, nil
}

func unreadable(err error) error {
	return errs.Wrap(err, errs.Invalid, "the configuration cannot be read", "use a newer version of this program")
}

// chunkSource looks up chunks in the root, in the previous document and, if fetch
// is set, elsewhere.
type chunkSource struct {
	inline   map[string][]byte
	previous *Document
	fetch    Fetch
}

// section returns the previous section if it is unchanged, and decodes the
// signed one otherwise.
func (c chunkSource) section(signed signedSection) (Section, error) {
	var head header
	if err := json.Unmarshal(signed.Header, &head); err != nil {
		return Section{}, unreadable(err)
	}
	if previousSection := c.previousSection(head.Partner); previousSection != nil && string(previousSection.signedForm.header) == string(signed.Header) && string(previousSection.signedForm.signature) == string(signed.Signature) {
		return *previousSection, nil
	}
	section := Section{
		Partner: head.Partner, Operator: head.Operator, Rotations: head.Rotations, Revision: head.Revision, Applied: head.Applied,
		signedForm: &signedForm{header: signed.Header, signature: signed.Signature, chunks: map[string][]byte{}},
	}
	for _, hash := range head.Chunks {
		chunk, err := c.chunk(head.Partner, hash)
		if err != nil {
			return Section{}, err
		}
		section.signedForm.chunks[hash] = chunk
		if err := section.addChunk(chunk); err != nil {
			return Section{}, err
		}
	}
	return section, nil
}

// previousSection returns the partner's signed section of the previous document, or
// nil if there is none.
func (c chunkSource) previousSection(partner string) *Section {
	if c.previous == nil {
		return nil
	}
	previousSection := c.previous.Section(partner)
	if previousSection == nil || previousSection.signedForm == nil {
		return nil
	}
	return previousSection
}

// chunk returns a chunk after comparing it with its hash.
func (c chunkSource) chunk(partner, hash string) ([]byte, error) {
	chunk, ok := c.localChunk(partner, hash)
	if !ok {
		fetched, err := c.fetch(hash)
		if err != nil {
			return nil, err
		}
		chunk = fetched
	}
	if chunkHash(chunk) != hash {
		return nil, errs.New(errs.Invalid, "chunk "+hash+" of the configuration is damaged", "fetch it again")
	}
	return chunk, nil
}

// localChunk returns a chunk that need not be fetched.
func (c chunkSource) localChunk(partner, hash string) ([]byte, bool) {
	if chunk, ok := c.inline[hash]; ok {
		return chunk, true
	}
	previousSection := c.previousSection(partner)
	if previousSection == nil {
		return nil, false
	}
	chunk, ok := previousSection.signedForm.chunks[hash]
	return chunk, ok
}

// ToStored returns the stored form of the document, which must have been decoded from
// content.
func (d *Document) ToStored(content []byte) Stored {
	missing, err := MissingChunks(content, nil)
	if err != nil || len(missing) == 0 {
		return Stored{Root: content}
	}
	chunks := make(map[string][]byte, len(missing))
	for _, section := range d.Sections {
		for _, hash := range missing {
			if chunk, ok := section.signedForm.chunks[hash]; ok {
				chunks[hash] = chunk
			}
		}
	}
	return Stored{Root: content, Chunks: chunks}
}

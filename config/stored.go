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

// maxInlineBytes bounds the chunks that travel in the root itself. A larger
// document keeps them under keys of their own.
const maxInlineBytes = 256 << 10

// Stored is a document in the form in which it is kept and passed on. Agents
// pass it on as they got it, so that signatures hold and fields of a newer
// version survive.
type Stored struct {
	Root   []byte            `json:"root"`
	Chunks map[string][]byte `json:"chunks,omitempty"` // by hash; not those in the root
}

// root is the JSON of Stored.Root.
type root struct {
	Revision    uint64            `json:"revision"`
	Changes     []Change          `json:"changes,omitempty"`
	Withdrawals []Withdrawal      `json:"withdrawals,omitempty"`
	Sections    []signedSection   `json:"sections"`
	Inline      map[string][]byte `json:"inline,omitempty"` // chunks by hash
}

type signedSection struct {
	Header    []byte `json:"header"`
	Signature []byte `json:"signature"`
}

// Encode returns the stored form. Every section must be sealed.
func (d *Document) Encode() (Stored, error) {
	encoded := root{Revision: d.Revision, Changes: d.Changes, Withdrawals: d.Withdrawals}
	chunks, size := map[string][]byte{}, 0
	for i := range d.Sections {
		section := &d.Sections[i]
		if section.sealed == nil {
			return Stored{}, errs.New(errs.Invalid, "section "+section.Partner+" is not signed", "apply it with its operators' credential")
		}
		encoded.Sections = append(encoded.Sections, signedSection{Header: section.sealed.header, Signature: section.sealed.signature})
		for hash, chunk := range section.sealed.chunks {
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

// Fetch returns a chunk that came with the document.
func (s Stored) Fetch(hash string) ([]byte, error) {
	chunk, ok := s.Chunks[hash]
	if !ok {
		return nil, errs.New(errs.NotFound, "no chunk "+hash, "fetch the configuration again")
	}
	return chunk, nil
}

// Decode reads a document. Sections that equal those of previous, which may be
// nil, are taken over from it; chunks that neither previous nor the root has are
// fetched. The chunks are checked against their hashes; Verify checks the rest.
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

// Missing returns the hashes of the chunks that neither the root nor previous has.
func Missing(content []byte, previous *Document) ([]string, error) {
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
			if _, ok := source.local(head.Partner, hash); !ok {
				missing = append(missing, hash)
			}
		}
	}
	return missing, nil
}

func unreadable(err error) error {
	return errs.Wrap(err, errs.Invalid, "the configuration cannot be read", "use a newer version of this program")
}

// chunkSource knows where chunks may come from.
type chunkSource struct {
	inline   map[string][]byte
	previous *Document
	fetch    Fetch
}

func (c chunkSource) section(signed signedSection) (Section, error) {
	var head header
	if err := json.Unmarshal(signed.Header, &head); err != nil {
		return Section{}, unreadable(err)
	}
	if known := c.known(head.Partner); known != nil && string(known.sealed.header) == string(signed.Header) && string(known.sealed.signature) == string(signed.Signature) {
		return *known, nil
	}
	section := Section{
		Partner: head.Partner, Operator: head.Operator, Rotations: head.Rotations, Revision: head.Revision, Applied: head.Applied,
		sealed: &sealed{header: signed.Header, signature: signed.Signature, chunks: map[string][]byte{}},
	}
	for _, hash := range head.Chunks {
		chunk, err := c.chunk(head.Partner, hash)
		if err != nil {
			return Section{}, err
		}
		section.sealed.chunks[hash] = chunk
		if err := section.add(chunk); err != nil {
			return Section{}, err
		}
	}
	return section, nil
}

func (c chunkSource) known(partner string) *Section {
	if c.previous == nil {
		return nil
	}
	known := c.previous.Section(partner)
	if known == nil || known.sealed == nil {
		return nil
	}
	return known
}

func (c chunkSource) chunk(partner, hash string) ([]byte, error) {
	chunk, ok := c.local(partner, hash)
	if !ok {
		fetched, err := c.fetch(hash)
		if err != nil {
			return nil, err
		}
		chunk = fetched
	}
	if hashOf(chunk) != hash {
		return nil, errs.New(errs.Invalid, "chunk "+hash+" of the configuration is damaged", "fetch it again")
	}
	return chunk, nil
}

// local returns a chunk that need not be fetched.
func (c chunkSource) local(partner, hash string) ([]byte, bool) {
	if chunk, ok := c.inline[hash]; ok {
		return chunk, true
	}
	known := c.known(partner)
	if known == nil {
		return nil, false
	}
	chunk, ok := known.sealed.chunks[hash]
	return chunk, ok
}

// As returns the stored form of a document that was decoded from content.
func (d *Document) As(content []byte) Stored {
	missing, err := Missing(content, nil)
	if err != nil || len(missing) == 0 {
		return Stored{Root: content}
	}
	chunks := make(map[string][]byte, len(missing))
	for _, section := range d.Sections {
		for _, hash := range missing {
			if chunk, ok := section.sealed.chunks[hash]; ok {
				chunks[hash] = chunk
			}
		}
	}
	return Stored{Root: content, Chunks: chunks}
}

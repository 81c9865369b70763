package config

import (
	"encoding/json"
	"slices"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
)

// sealed is the signed form of a section.
type sealed struct {
	header    []byte // JSON of a header
	signature []byte // of header, by the header's operator
	chunks    map[string][]byte
}

// header is the signed part of a section; it names the chunks by their hash.
type header struct {
	Partner   string     `json:"partner"`
	Operator  string     `json:"operator"`
	Rotations []Rotation `json:"rotations,omitempty"`
	Revision  uint64     `json:"revision"`
	Applied   Change     `json:"applied"`
	Chunks    []string   `json:"chunks"`
}

// Rotation replaces a partner's operator credential by another.
type Rotation struct {
	From      string `json:"from"` // public keys
	To        string `json:"to"`
	Signature []byte `json:"signature"` // by From
}

// Withdrawal ends a client key. It is passed between agents and kept until the
// partner's section says the same.
type Withdrawal struct {
	Partner   string `json:"partner"`
	Hash      string `json:"hash"`      // of the key
	Signature []byte `json:"signature"` // by the partner's operators
}

// Seal signs the section, which must be whole. Any later change needs another Seal.
func (s *Section) Seal(operator keys.Operator) error {
	if s.Operator != operator.Public() {
		return errs.New(errs.Denied, "the credential does not belong to "+s.Partner, "pass that partner's operator credential")
	}
	chunks, err := s.split()
	if err != nil {
		return err
	}
	signed := header{Partner: s.Partner, Operator: s.Operator, Rotations: s.Rotations, Revision: s.Revision, Applied: s.Applied}
	result := &sealed{chunks: map[string][]byte{}}
	for _, chunk := range chunks {
		hash := hashOf(chunk)
		signed.Chunks = append(signed.Chunks, hash)
		result.chunks[hash] = chunk
	}
	if result.header, err = json.Marshal(signed); err != nil {
		return errs.Wrap(err, errs.Invalid, "cannot encode section "+s.Partner, "report this as a defect")
	}
	result.signature = operator.Sign(result.header)
	s.sealed = result
	return nil
}

// Rotate hands the section over to another credential of the same partner.
func (s *Section) Rotate(from, to keys.Operator) {
	s.Rotations = append(slices.Clone(s.Rotations), Rotation{
		From: from.Public(), To: to.Public(),
		Signature: from.Sign(rotationMessage(s.Partner, from.Public(), to.Public())),
	})
	s.Operator = to.Public()
	s.sealed = nil
}

// NewWithdrawal signs the withdrawal of a key.
func NewWithdrawal(partner, hash string, operator keys.Operator) Withdrawal {
	return Withdrawal{Partner: partner, Hash: hash, Signature: operator.Sign(withdrawalMessage(partner, hash))}
}

func rotationMessage(partner, from, to string) []byte {
	return []byte("rotate\x00" + partner + "\x00" + from + "\x00" + to)
}

func withdrawalMessage(partner, hash string) []byte {
	return []byte("withdraw\x00" + partner + "\x00" + hash)
}

// Equal reports whether both end the same key.
func (w Withdrawal) Equal(other Withdrawal) bool {
	return w.Partner == other.Partner && w.Hash == other.Hash
}

// FoldWithdrawals moves the document's withdrawals of the section's partner into
// the section.
func (d *Document) FoldWithdrawals(section *Section) {
	var others []Withdrawal
	ended := map[string]bool{}
	for _, withdrawal := range d.Withdrawals {
		if withdrawal.Partner == section.Partner {
			ended[withdrawal.Hash] = true
			continue
		}
		others = append(others, withdrawal)
	}
	d.Withdrawals = others
	section.Keys = slices.Clone(section.Keys)
	for i := range section.Keys {
		if ended[section.Keys[i].Hash] {
			section.Keys[i].Withdrawn = true
		}
	}
}

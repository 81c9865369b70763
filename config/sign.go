package config

import (
	"encoding/json"
	"slices"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
)

// signedForm is a section in the encoded form that its signature covers.
type signedForm struct {
	header    []byte            // JSON encoding of a header
	signature []byte            // of header, made with the key of header.Operator
	chunks    map[string][]byte // by hash
}

// header is the part of a section that is signed. It lists the hashes of the
// chunks, so the signature covers them too.
type header struct {
	Partner   string     `json:"partner"`
	Operator  string     `json:"operator"`
	Rotations []Rotation `json:"rotations,omitempty"`
	Revision  uint64     `json:"revision"`
	Applied   Change     `json:"applied"`
	Chunks    []string   `json:"chunks"`
}

// Rotation replaces a partner's operator credential with another one.
type Rotation struct {
	From      string `json:"from"`      // public key of the replaced credential
	To        string `json:"to"`        // public key of the new credential
	Signature []byte `json:"signature"` // made with From
}

// Withdrawal revokes a client key. Agents pass it on and keep it until the
// partner's section marks the key as withdrawn.
type Withdrawal struct {
	Partner   string `json:"partner"`
	Hash      string `json:"hash"`      // of the key
	Signature []byte `json:"signature"` // made with the partner's operator credential
}

// SignWith signs the section, which must be complete. It must be called again after
// any later change. It fails with kind Denied if operator is not the section's.
func (s *Section) SignWith(operator keys.Operator) error {
	if s.Operator != operator.Public() {
		return errs.New(errs.Denied, "the credential does not belong to "+s.Partner, "pass that partner's operator credential")
	}
	chunks, err := s.encodeChunks()
	if err != nil {
		return err
	}
	signed := header{Partner: s.Partner, Operator: s.Operator, Rotations: s.Rotations, Revision: s.Revision, Applied: s.Applied}
	result := &signedForm{chunks: map[string][]byte{}}
	for _, chunk := range chunks {
		hash := chunkHash(chunk)
		signed.Chunks = append(signed.Chunks, hash)
		result.chunks[hash] = chunk
	}
	if result.header, err = json.Marshal(signed); err != nil {
		return errs.Wrap(err, errs.Invalid, "cannot encode section "+s.Partner, "report this as a defect")
	}
	result.signature = operator.Sign(result.header)
	s.signedForm = result
	return nil
}

// Rotate replaces the section's operator credential from with to. The section must
// then be signed with the new one.
func (s *Section) Rotate(from, to keys.Operator) {
	s.Rotations = append(slices.Clone(s.Rotations), Rotation{
		From: from.Public(), To: to.Public(),
		Signature: from.Sign(rotationMessage(s.Partner, from.Public(), to.Public())),
	})
	s.Operator = to.Public()
	s.signedForm = nil
}

// NewWithdrawal returns the signed withdrawal of the key with the hash.
func NewWithdrawal(partner, hash string, operator keys.Operator) Withdrawal {
	return Withdrawal{Partner: partner, Hash: hash, Signature: operator.Sign(withdrawalMessage(partner, hash))}
}

// rotationMessage returns the bytes that the signature of a Rotation covers.
func rotationMessage(partner, from, to string) []byte {
	return []byte("rotate\x00" + partner + "\x00" + from + "\x00" + to)
}

// withdrawalMessage returns the bytes that the signature of a Withdrawal covers.
func withdrawalMessage(partner, hash string) []byte {
	return []byte("withdraw\x00" + partner + "\x00" + hash)
}

// Equal reports whether both revoke the same key. Signatures are not compared.
func (w Withdrawal) Equal(other Withdrawal) bool {
	return w.Partner == other.Partner && w.Hash == other.Hash
}

// MoveWithdrawals removes the withdrawals of the section's partner from the document
// and marks their keys as withdrawn in the section.
func (d *Document) MoveWithdrawals(section *Section) {
	var others []Withdrawal
	revoked := map[string]bool{}
	for _, withdrawal := range d.Withdrawals {
		if withdrawal.Partner == section.Partner {
			revoked[withdrawal.Hash] = true
			continue
		}
		others = append(others, withdrawal)
	}
	d.Withdrawals = others
	section.Keys = slices.Clone(section.Keys)
	for i := range section.Keys {
		if revoked[section.Keys[i].Hash] {
			section.Keys[i].Withdrawn = true
		}
	}
}

package config

import (
	"fmt"
	"slices"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
)

// Verify checks whether next may replace previous, which is nil on a VM that has
// just started. The operators' public keys in previous are pinned: a section with
// another public key must contain a chain of rotations from the pinned one.
// It fails with kind Conflict if next is older than previous, with kind Denied if
// a section is missing, a signature is wrong or a withdrawn key would be valid
// again, with kind NotFound if a withdrawal names a partner without a section, and
// with kind Invalid if a value is not valid.
func Verify(previous, next *Document) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if previous == nil {
		previous = &Document{}
	}
	if next.Revision < previous.Revision {
		return errs.New(errs.Conflict, fmt.Sprintf("revision %d would go back from %d", next.Revision, previous.Revision), "apply the section again on the newest revision")
	}
	for i := range previous.Sections {
		if partner := previous.Sections[i].Partner; next.Section(partner) == nil {
			return errs.New(errs.Denied, "the section of "+partner+" is missing", "apply it again")
		}
	}
	for i := range next.Sections {
		section := &next.Sections[i]
		if err := verifySection(previous.Section(section.Partner), section); err != nil {
			return err
		}
	}
	return verifyWithdrawals(previous, next)
}

// verifySection checks one section of the next document. previous is nil if the
// partner had none.
func verifySection(previous, next *Section) error {
	if next.signedForm == nil {
		return denied(next, "is not signed")
	}
	if previous != nil && previous.signedForm != nil && string(previous.signedForm.header) == string(next.signedForm.header) {
		return nil
	}
	if !keys.Verify(next.Operator, next.signedForm.header, next.signedForm.signature) {
		return denied(next, "has a wrong signature")
	}
	if err := daemon.ValidateStruct("section "+next.Partner, next); err != nil {
		return err
	}
	if previous == nil {
		return nil
	}
	if next.Revision <= previous.Revision {
		return denied(next, fmt.Sprintf("of revision %d replaces that of revision %d", next.Revision, previous.Revision))
	}
	if !next.hasRotationChainFrom(previous.Operator) {
		return denied(next, "is signed by a credential that this VM does not know")
	}
	return nil
}

// VerifyPinned checks the sections against the operators' public keys that the settings
// pin, by partner. It fails with kind Denied.
func (d *Document) VerifyPinned(operators map[string]string) error {
	for i := range d.Sections {
		section := &d.Sections[i]
		if pinned, ok := operators[section.Partner]; ok && !section.hasRotationChainFrom(pinned) {
			return denied(section, "is not signed by the credential in the settings")
		}
	}
	return nil
}

// hasRotationChainFrom reports whether a chain of rotations leads from the given
// public key to the one that signed the section.
func (s *Section) hasRotationChainFrom(public string) bool {
	for _, rotation := range s.Rotations {
		if rotation.From == public && keys.Verify(public, rotationMessage(s.Partner, rotation.From, rotation.To), rotation.Signature) {
			public = rotation.To
		}
	}
	return public == s.Operator
}

// verifyWithdrawals checks the signatures of the withdrawals in next and that no
// key withdrawn in previous is valid in next.
func verifyWithdrawals(previous, next *Document) error {
	for _, withdrawal := range next.Withdrawals {
		if err := next.VerifyWithdrawal(withdrawal); err != nil {
			return err
		}
	}
	active := map[keyID]bool{}
	for _, section := range next.Sections {
		for _, key := range section.Keys {
			active[keyID{section.Partner, key.Hash}] = !key.Withdrawn
		}
	}
	for _, withdrawal := range next.Withdrawals {
		delete(active, keyID{withdrawal.Partner, withdrawal.Hash})
	}
	for _, withdrawal := range previous.withdrawn() {
		if active[keyID{withdrawal.Partner, withdrawal.Hash}] {
			return errs.New(errs.Denied, "the withdrawn key "+withdrawal.Hash+" would be valid again", "grant a new key")
		}
	}
	return nil
}

// withdrawn returns the withdrawals of all withdrawn keys. Those that a section
// marks as withdrawn have no signature.
func (d *Document) withdrawn() []Withdrawal {
	withdrawn := slices.Clone(d.Withdrawals)
	for _, section := range d.Sections {
		for _, key := range section.Keys {
			if key.Withdrawn {
				withdrawn = append(withdrawn, Withdrawal{Partner: section.Partner, Hash: key.Hash})
			}
		}
	}
	return withdrawn
}

// VerifyWithdrawal checks that the partner's current operator credential or an
// earlier one signed the withdrawal. It fails with kind NotFound if the document has
// no section of the partner, and with kind Denied if the signature is wrong.
func (d *Document) VerifyWithdrawal(withdrawal Withdrawal) error {
	section := d.Section(withdrawal.Partner)
	if section == nil {
		return errs.New(errs.NotFound, "no section of "+withdrawal.Partner, "check the partner")
	}
	message := withdrawalMessage(withdrawal.Partner, withdrawal.Hash)
	if keys.Verify(section.Operator, message, withdrawal.Signature) {
		return nil
	}
	for _, rotation := range section.Rotations {
		if keys.Verify(rotation.From, message, withdrawal.Signature) {
			return nil
		}
	}
	return errs.New(errs.Denied, "a withdrawal of a key of "+withdrawal.Partner+" has a wrong signature", "pass that partner's operator credential")
}

// keyID identifies a key. It includes the partner because a partner can withdraw
// only its own keys.
type keyID struct{ partner, hash string }

// ActiveKeys returns the client account of each valid key, by the key's hash. It
// excludes the keys of the document's withdrawals and of the later ones.
func (d *Document) ActiveKeys(later []Withdrawal) map[string]string {
	withdrawn := map[keyID]bool{}
	for _, withdrawal := range slices.Concat(d.Withdrawals, later) {
		withdrawn[keyID{withdrawal.Partner, withdrawal.Hash}] = true
	}
	active := map[string]string{}
	for _, section := range d.Sections {
		for _, key := range section.Keys {
			if !key.Withdrawn && !withdrawn[keyID{section.Partner, key.Hash}] {
				active[key.Hash] = key.Account
			}
		}
	}
	return active
}

// Covers reports whether the document itself contains the withdrawal or marks its
// key as withdrawn. It returns false for a key that is not in the document, because
// a later revision may still grant it.
func (d *Document) Covers(withdrawal Withdrawal) bool {
	if slices.ContainsFunc(d.Withdrawals, withdrawal.Equal) {
		return true
	}
	section := d.Section(withdrawal.Partner)
	return section != nil && slices.ContainsFunc(section.Keys, func(key Key) bool {
		return key.Hash == withdrawal.Hash && key.Withdrawn
	})
}

// denied returns an error about a section that must not be adopted.
func denied(section *Section, message string) error {
	return errs.New(errs.Denied, "the section of "+section.Partner+" "+message, "pass that partner's operator credential")
}

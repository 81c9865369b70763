package config

import (
	"fmt"
	"slices"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
)

// Verify checks whether next may take the place of previous, which is nil for a
// VM that has just started. The operators' public key of each partner is pinned
// by previous; another one needs a chain of rotations from the pinned one.
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

func verifySection(previous, next *Section) error {
	if next.sealed == nil {
		return denied(next, "is not signed")
	}
	if previous != nil && previous.sealed != nil && string(previous.sealed.header) == string(next.sealed.header) {
		return nil
	}
	if !keys.Verify(next.Operator, next.sealed.header, next.sealed.signature) {
		return denied(next, "has a wrong signature")
	}
	if err := daemon.Check("section "+next.Partner, next); err != nil {
		return err
	}
	if previous == nil {
		return nil
	}
	if next.Revision <= previous.Revision {
		return denied(next, fmt.Sprintf("of revision %d replaces that of revision %d", next.Revision, previous.Revision))
	}
	if !next.trusts(previous.Operator) {
		return denied(next, "is signed by a credential that this VM does not know")
	}
	return nil
}

// Pinned checks the operators' public keys against those fixed in settings, by partner.
func (d *Document) Pinned(operators map[string]string) error {
	for i := range d.Sections {
		section := &d.Sections[i]
		if pinned, ok := operators[section.Partner]; ok && !section.trusts(pinned) {
			return denied(section, "is not signed by the credential in the settings")
		}
	}
	return nil
}

// trusts reports whether a chain of rotations leads from the public key to the
// one that signed the section.
func (s *Section) trusts(public string) bool {
	for _, rotation := range s.Rotations {
		if rotation.From == public && keys.Verify(public, rotationMessage(s.Partner, rotation.From, rotation.To), rotation.Signature) {
			public = rotation.To
		}
	}
	return public == s.Operator
}

// verifyWithdrawals checks that what was withdrawn stays withdrawn.
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

// withdrawn returns all withdrawals, without signatures where a section has them.
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

// VerifyWithdrawal checks the signature of a withdrawal by the partner's
// present credential or an earlier one.
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

// keyID names a key; a partner's withdrawals end its own keys only.
type keyID struct{ partner, hash string }

// ActiveKeys returns the client account of each valid key, by hash. Besides the
// document's own withdrawals it takes in later ones.
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

// Covers reports whether the document itself refuses the key of the withdrawal.
// A key that it does not know is not covered: its grant may be on the way.
func (d *Document) Covers(withdrawal Withdrawal) bool {
	if slices.ContainsFunc(d.Withdrawals, withdrawal.Equal) {
		return true
	}
	section := d.Section(withdrawal.Partner)
	return section != nil && slices.ContainsFunc(section.Keys, func(key Key) bool {
		return key.Hash == withdrawal.Hash && key.Withdrawn
	})
}

func denied(section *Section, message string) error {
	return errs.New(errs.Denied, "the section of "+section.Partner+" "+message, "pass that partner's operator credential")
}

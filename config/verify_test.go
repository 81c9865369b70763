package config

import (
	"testing"

	"lacewingmount.dev/errs"
)

// forgedDocuments are changes of previousDocument that an attacker or a mistaken
// operator could write to the store. Verify must reject all of them.
var forgedDocuments = map[string]func(t *testing.T, next *Document){
	"section of another partner, signed by the wrong operator": func(t *testing.T, next *Document) {
		section := next.Sections[1]
		section.Accounts = []ClientAccount{{Name: "three-reader", Rate: 1e6, Burst: 1e6}}
		section.Revision, section.Operator = 2, operator(t, "one").Public()
		next.Sections[1] = signSection(t, section, "one")
	},
	"header of one partner with the signature of another": func(t *testing.T, next *Document) {
		forged := *next.Sections[1].signedForm
		forged.signature = operator(t, "one").Sign(forged.header)
		forged.header = append([]byte(" "), forged.header...)
		next.Sections[1].signedForm = &forged
	},
	"rotation that the old credential did not sign": func(t *testing.T, next *Document) {
		section := next.Sections[1]
		section.Revision = 2
		section.Rotate(operator(t, "one"), operator(t, "one"))
		section.Rotations[0].From = operator(t, "three").Public()
		next.Sections[1] = signSection(t, section, "one")
	},
	"missing section": func(_ *testing.T, next *Document) { next.Sections = next.Sections[:1] },
	"changed section with an unchanged revision": func(t *testing.T, next *Document) {
		section := next.Sections[0]
		section.Accounts = append(section.Accounts, ClientAccount{Name: "one-extra", Rate: 1, Burst: 1})
		next.Sections[0] = signSection(t, section, "one")
	},
	"withdrawn key valid again": func(t *testing.T, next *Document) {
		section := next.Sections[0]
		section.Revision = 2
		section.Keys = []Key{{Account: "one-reader", Hash: "one-withdrawn"}}
		next.Sections[0] = signSection(t, section, "one")
	},
	"withdrawal of another partner's key": func(t *testing.T, next *Document) {
		next.Withdrawals = append(next.Withdrawals, NewWithdrawal("three", "three-key", operator(t, "one")))
	},
	"key of another partner": func(t *testing.T, next *Document) {
		section := next.Sections[0]
		section.Revision = 2
		section.Keys = append(section.Keys, Key{Account: "one-reader", Hash: "three-key"})
		next.Sections[0] = signSection(t, section, "one")
	},
	"path of another partner": func(t *testing.T, next *Document) {
		section := next.Sections[0]
		section.Revision = 2
		section.Routes = append(section.Routes, Route{Path: "/three", Methods: []string{"GET"}, Service: "one-shelf", Timeout: 1})
		next.Sections[0] = signSection(t, section, "one")
	},
	"field with an invalid value": func(t *testing.T, next *Document) {
		section := next.Sections[0]
		section.Revision = 2
		section.Services[0].Slots = 0
		next.Sections[0] = signSection(t, section, "one")
	},
	"older revision": func(_ *testing.T, next *Document) { next.Revision = 0 },
}

func previousDocument(t *testing.T) *Document {
	previous := newDocument(t)
	section := previous.Sections[0]
	section.Keys = append(section.Keys, Key{Account: "one-reader", Hash: "one-withdrawn", Withdrawn: true})
	previous.Sections[0] = signSection(t, section, "one")
	return previous.decoded(t, nil)
}

func TestProofConfigAgentsRefuseWhatNoOperatorOfThePartnerSigned(t *testing.T) {
	for name, forge := range forgedDocuments {
		t.Run(name, func(t *testing.T) {
			previous := previousDocument(t)
			next := previousDocument(t)
			next.Revision = 2
			forge(t, next)
			if err := Verify(previous, next.decoded(t, previous)); err == nil {
				t.Error("the document was accepted")
			} else if kind := errs.KindOf(err); kind == errs.Unknown {
				t.Errorf("untyped error: %v", err)
			}
		})
	}
}

// Control: Validate alone, without the signatures, accepts a forged section.
func TestControlConfigValidationAloneAcceptsForgedSections(t *testing.T) {
	next := previousDocument(t)
	forgedDocuments["section of another partner, signed by the wrong operator"](t, next)
	if err := next.Validate(); err != nil {
		t.Errorf("validation alone rejected the forged section: %v", err)
	}
}

func TestVerifyAcceptsTheOperatorsOwnChanges(t *testing.T) {
	previous := previousDocument(t)
	next := previousDocument(t)
	next.Revision = 2
	next.Withdrawals = append(next.Withdrawals, NewWithdrawal("three", "three-key", operator(t, "three")))
	section := next.Sections[0]
	section.Revision = 2
	section.Rotate(operator(t, "one"), operator(t, "one-later"))
	next.Sections[0] = signSection(t, section, "one-later")
	decoded := next.decoded(t, previous)
	if err := Verify(previous, decoded); err != nil {
		t.Fatal(err)
	}
	if _, valid := decoded.ActiveKeys(nil)["three-key"]; valid {
		t.Error("the withdrawn key is still valid")
	}
	if err := decoded.VerifyPinned(map[string]string{"one": operator(t, "one").Public()}); err != nil {
		t.Errorf("a rotation from the pinned credential is rejected: %v", err)
	}
	if err := decoded.VerifyPinned(map[string]string{"one": operator(t, "three").Public()}); err == nil {
		t.Error("a section signed by another credential than the pinned one is accepted")
	}
	earlier := NewWithdrawal("one", "one-key", operator(t, "one")) // signed before the rotation
	if err := decoded.VerifyWithdrawal(earlier); err != nil {
		t.Errorf("a withdrawal signed before the rotation is rejected: %v", err)
	}
}

package config

import (
	"testing"

	"lacewingmount.dev/errs"
)

// attempts are documents that an attacker or a confused operator could write to
// the store in place of newDocument; all must be refused.
var attempts = map[string]func(t *testing.T, next *Document){
	"section of another partner, signed by the wrong operator": func(t *testing.T, next *Document) {
		section := next.Sections[1]
		section.Accounts = []ClientAccount{{Name: "three-reader", Rate: 1e6, Burst: 1e6}}
		section.Revision, section.Operator = 2, operator(t, "one").Public()
		next.Sections[1] = seal(t, section, "one")
	},
	"header of one partner with the signature of another": func(t *testing.T, next *Document) {
		forged := *next.Sections[1].sealed
		forged.signature = operator(t, "one").Sign(forged.header)
		forged.header = append([]byte(" "), forged.header...)
		next.Sections[1].sealed = &forged
	},
	"rotation that the old credential did not sign": func(t *testing.T, next *Document) {
		section := next.Sections[1]
		section.Revision = 2
		section.Rotate(operator(t, "one"), operator(t, "one"))
		section.Rotations[0].From = operator(t, "three").Public()
		next.Sections[1] = seal(t, section, "one")
	},
	"section left out": func(_ *testing.T, next *Document) { next.Sections = next.Sections[:1] },
	"section of an old revision": func(t *testing.T, next *Document) {
		section := next.Sections[0]
		section.Accounts = append(section.Accounts, ClientAccount{Name: "one-extra", Rate: 1, Burst: 1})
		next.Sections[0] = seal(t, section, "one")
	},
	"withdrawn key valid again": func(t *testing.T, next *Document) {
		section := next.Sections[0]
		section.Revision = 2
		section.Keys = []Key{{Account: "one-reader", Hash: "one-withdrawn"}}
		next.Sections[0] = seal(t, section, "one")
	},
	"withdrawal of another partner's key": func(t *testing.T, next *Document) {
		next.Withdrawals = append(next.Withdrawals, NewWithdrawal("three", "three-key", operator(t, "one")))
	},
	"key of another partner": func(t *testing.T, next *Document) {
		section := next.Sections[0]
		section.Revision = 2
		section.Keys = append(section.Keys, Key{Account: "one-reader", Hash: "three-key"})
		next.Sections[0] = seal(t, section, "one")
	},
	"path of another partner": func(t *testing.T, next *Document) {
		section := next.Sections[0]
		section.Revision = 2
		section.Routes = append(section.Routes, Route{Path: "/three", Methods: []string{"GET"}, Service: "one-shelf", Timeout: 1})
		next.Sections[0] = seal(t, section, "one")
	},
	"field outside its bounds": func(t *testing.T, next *Document) {
		section := next.Sections[0]
		section.Revision = 2
		section.Services[0].Slots = 0
		next.Sections[0] = seal(t, section, "one")
	},
	"older revision": func(_ *testing.T, next *Document) { next.Revision = 0 },
}

func previousDocument(t *testing.T) *Document {
	previous := newDocument(t)
	section := previous.Sections[0]
	section.Keys = append(section.Keys, Key{Account: "one-reader", Hash: "one-withdrawn", Withdrawn: true})
	previous.Sections[0] = seal(t, section, "one")
	return previous.received(t, nil)
}

func TestProofConfigAgentsRefuseWhatNoOperatorOfThePartnerSigned(t *testing.T) {
	for name, attempt := range attempts {
		t.Run(name, func(t *testing.T) {
			previous := previousDocument(t)
			next := previousDocument(t)
			next.Revision = 2
			attempt(t, next)
			if err := Verify(previous, next.received(t, previous)); err == nil {
				t.Error("the document was accepted")
			} else if kind := errs.KindOf(err); kind == errs.Unknown {
				t.Errorf("untyped error: %v", err)
			}
		})
	}
}

// The control: without signatures only the checks of references are left.
func TestControlConfigValidationAloneAcceptsForgedSections(t *testing.T) {
	next := previousDocument(t)
	attempts["section of another partner, signed by the wrong operator"](t, next)
	if err := next.Validate(); err != nil {
		t.Errorf("validation alone refused the forged section: %v", err)
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
	next.Sections[0] = seal(t, section, "one-later")
	received := next.received(t, previous)
	if err := Verify(previous, received); err != nil {
		t.Fatal(err)
	}
	if _, valid := received.ActiveKeys(nil)["three-key"]; valid {
		t.Error("the withdrawn key is still valid")
	}
	if err := received.Pinned(map[string]string{"one": operator(t, "one").Public()}); err != nil {
		t.Errorf("a rotation from the pinned credential is refused: %v", err)
	}
	if err := received.Pinned(map[string]string{"one": operator(t, "three").Public()}); err == nil {
		t.Error("a section of another credential than the pinned one is accepted")
	}
	late := NewWithdrawal("one", "one-key", operator(t, "one")) // signed before the rotation
	if err := received.VerifyWithdrawal(late); err != nil {
		t.Errorf("a withdrawal signed before the rotation is refused: %v", err)
	}
}

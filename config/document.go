package config

import (
	"slices"
	"time"
)

// MaxChanges is the number of latest changes that a document lists.
const MaxChanges = 32

// Document is the configuration of the whole fleet.
type Document struct {
	Revision    uint64       `json:"revision"`
	Changes     []Change     `json:"changes,omitempty"`     // the latest MaxChanges, oldest first
	Withdrawals []Withdrawal `json:"withdrawals,omitempty"` // not yet marked in a section
	Sections    []Section    `json:"sections"`
}

// Change identifies the write that created a revision.
type Change struct {
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	Partner  string `json:"partner"`
}

// Section is the configuration of one partner. Only the partner's operators can
// change it, because every agent verifies their signature.
type Section struct {
	Partner   string          `json:"partner" yaml:"partner" validate:"required"`
	Operator  string          `json:"operator" yaml:"operator,omitempty"` // public key of the operators' credential
	Rotations []Rotation      `json:"rotations,omitempty" yaml:"-"`       // from earlier credentials to Operator
	Revision  uint64          `json:"revision" yaml:"-"`                  // of the document in which this section last changed
	Applied   Change          `json:"applied" yaml:"-"`                   // the last change of services, routes or accounts
	Services  []Service       `json:"services" yaml:"services" validate:"min=1,dive"`
	Routes    []Route         `json:"routes" yaml:"routes" validate:"min=1,dive"`
	Accounts  []ClientAccount `json:"accounts" yaml:"accounts" validate:"min=1,dive"`
	Keys      []Key           `json:"keys,omitempty" yaml:"keys,omitempty" validate:"dive"`

	signedForm *signedForm // nil if the section is not signed or changed since it was signed
}

// Concern is the error of ejection that a partner wants to avoid most.
type Concern string

// Concerns.
const (
	ConcernFalseEjection Concern = "false-ejection" // ejecting a working server
	ConcernDetectionTime Concern = "detection-time" // detecting a failing server late
)

// Service is a pool of interchangeable backend servers.
type Service struct {
	Name        string          `json:"name" yaml:"name" validate:"required"`
	Floor       int             `json:"floor" yaml:"floor" validate:"min=1"`             // minimum number of backend servers that ejection leaves in service
	Slots       int             `json:"slots" yaml:"slots" validate:"min=1"`             // requests that one server runs concurrently
	Connections int             `json:"connections" yaml:"connections" validate:"min=1"` // connections that one server accepts
	Concern     Concern         `json:"concern" yaml:"concern" validate:"oneof=false-ejection detection-time"`
	Probe       string          `json:"probe,omitempty" yaml:"probe,omitempty" validate:"omitempty,startswith=/"` // path of probes; "" for the default health endpoint
	Servers     []BackendServer `json:"servers" yaml:"servers" validate:"min=1,dive"`
}

// BackendServer is one server of a service.
type BackendServer struct {
	Name    string `json:"name" yaml:"name" validate:"required"`
	Address string `json:"address" yaml:"address" validate:"hostname_port"`
	Zone    string `json:"zone" yaml:"zone" validate:"required"`
}

// Route maps a path prefix to a service.
type Route struct {
	Path      string        `json:"path" yaml:"path" validate:"startswith=/"` // prefix; matches whole segments
	Methods   []string      `json:"methods" yaml:"methods" validate:"min=1"`
	Service   string        `json:"service" yaml:"service" validate:"required"`
	Open      bool          `json:"open,omitempty" yaml:"open,omitempty"`           // served without a key
	Protected bool          `json:"protected,omitempty" yaml:"protected,omitempty"` // executed at most once
	Upload    bool          `json:"upload,omitempty" yaml:"upload,omitempty"`       // limited by the time without progress, not by Timeout
	Timeout   time.Duration `json:"timeout" yaml:"timeout" validate:"min=0"`        // nanoseconds in JSON; 0 for uploads
}

// ClientAccount is a tenant with its rate limit and burst, which apply to the sum
// of its requests on all VMs.
type ClientAccount struct {
	Name  string  `json:"name" yaml:"name" validate:"required"`
	Rate  float64 `json:"rate" yaml:"rate" validate:"gt=0"`    // requests per second
	Burst float64 `json:"burst" yaml:"burst" validate:"min=1"` // requests
}

// Key is a client key, identified by its hash. A withdrawn key is never granted again.
type Key struct {
	Account   string `json:"account" yaml:"account" validate:"required"`
	Hash      string `json:"hash" yaml:"hash" validate:"required"`
	Withdrawn bool   `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// Section returns the section of the named partner, or nil if there is none.
func (d *Document) Section(partner string) *Section {
	for i := range d.Sections {
		if d.Sections[i].Partner == partner {
			return &d.Sections[i]
		}
	}
	return nil
}

// Change returns the change with the id. ok is false if it is not among the listed
// changes.
func (d *Document) Change(id string) (change Change, ok bool) {
	for _, change := range d.Changes {
		if change.ID == id {
			return change, true
		}
	}
	return Change{}, false
}

// ChangeID returns the ID of the change that created this revision, or "" if no
// change is listed.
func (d *Document) ChangeID() string {
	if len(d.Changes) == 0 {
		return ""
	}
	return d.Changes[len(d.Changes)-1].ID
}

// WithSection returns a copy of the document in which section replaces or adds
// the section of its partner.
func (d *Document) WithSection(section Section) *Document {
	next := d.clone()
	for i := range next.Sections {
		if next.Sections[i].Partner == section.Partner {
			next.Sections[i] = section
			return next
		}
	}
	next.Sections = append(next.Sections, section)
	return next
}

// WithChange returns a copy of the document with the next revision, created by the
// given change.
func (d *Document) WithChange(id, partner string) *Document {
	next := d.clone()
	next.Revision++
	next.Changes = append(next.Changes, Change{Revision: next.Revision, ID: id, Partner: partner})
	if excess := len(next.Changes) - MaxChanges; excess > 0 {
		next.Changes = next.Changes[excess:]
	}
	return next
}

func (d *Document) clone() *Document {
	return &Document{
		Revision: d.Revision, Changes: slices.Clone(d.Changes),
		Withdrawals: slices.Clone(d.Withdrawals), Sections: slices.Clone(d.Sections),
	}
}

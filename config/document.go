package config

import (
	"slices"
	"time"
)

// MaxChanges is the number of changes that a document remembers.
const MaxChanges = 32

// Document is the configuration in force on every VM.
type Document struct {
	Revision    uint64       `json:"revision"`
	Changes     []Change     `json:"changes,omitempty"`     // the newest MaxChanges, oldest first
	Withdrawals []Withdrawal `json:"withdrawals,omitempty"` // not yet part of a section
	Sections    []Section    `json:"sections"`
}

// Change identifies the write that made a revision.
type Change struct {
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	Partner  string `json:"partner"`
}

// Section is the configuration of one partner. Only its operators change it:
// their signature is verified by every agent.
type Section struct {
	Partner   string          `json:"partner" yaml:"partner" validate:"required"`
	Operator  string          `json:"operator" yaml:"operator,omitempty"` // public key of the operators' credential
	Rotations []Rotation      `json:"rotations,omitempty" yaml:"-"`       // from earlier credentials to Operator
	Revision  uint64          `json:"revision" yaml:"-"`                  // of the document that changed this section last
	Applied   Change          `json:"applied" yaml:"-"`                   // the last change of services, routes or accounts
	Services  []Service       `json:"services" yaml:"services" validate:"min=1,dive"`
	Routes    []Route         `json:"routes" yaml:"routes" validate:"min=1,dive"`
	Accounts  []ClientAccount `json:"accounts" yaml:"accounts" validate:"min=1,dive"`
	Keys      []Key           `json:"keys,omitempty" yaml:"keys,omitempty" validate:"dive"`

	sealed *sealed // the signed form, if the section has not changed since
}

// Concern says which error of ejection weighs more for a partner.
type Concern string

// Concerns.
const (
	ConcernFalseEjection Concern = "false-ejection"
	ConcernDetectionTime Concern = "detection-time"
)

// Service is a pool of backend servers that are interchangeable.
type Service struct {
	Name        string          `json:"name" yaml:"name" validate:"required"`
	Floor       int             `json:"floor" yaml:"floor" validate:"min=1"`             // backend servers that ejection leaves in service
	Slots       int             `json:"slots" yaml:"slots" validate:"min=1"`             // requests that one server runs at once
	Connections int             `json:"connections" yaml:"connections" validate:"min=1"` // connections that one server accepts
	Concern     Concern         `json:"concern" yaml:"concern" validate:"oneof=false-ejection detection-time"`
	Probe       string          `json:"probe,omitempty" yaml:"probe,omitempty" validate:"omitempty,startswith=/"` // path of probes; "" for the health endpoint
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
	Path      string        `json:"path" yaml:"path" validate:"startswith=/"` // matches whole segments
	Methods   []string      `json:"methods" yaml:"methods" validate:"min=1"`
	Service   string        `json:"service" yaml:"service" validate:"required"`
	Open      bool          `json:"open,omitempty" yaml:"open,omitempty"`           // served without a key
	Protected bool          `json:"protected,omitempty" yaml:"protected,omitempty"` // runs at most once
	Upload    bool          `json:"upload,omitempty" yaml:"upload,omitempty"`       // no total deadline, only progress
	Timeout   time.Duration `json:"timeout" yaml:"timeout" validate:"min=0"`        // nanoseconds in JSON; 0 for uploads
}

// ClientAccount is a tenant with its rate and burst across the whole fleet.
type ClientAccount struct {
	Name  string  `json:"name" yaml:"name" validate:"required"`
	Rate  float64 `json:"rate" yaml:"rate" validate:"gt=0"`    // requests per second
	Burst float64 `json:"burst" yaml:"burst" validate:"min=1"` // requests
}

// Key is the hash of a client key. A withdrawn key is never granted again.
type Key struct {
	Account   string `json:"account" yaml:"account" validate:"required"`
	Hash      string `json:"hash" yaml:"hash" validate:"required"`
	Withdrawn bool   `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// Section returns the section of the named partner, or nil.
func (d *Document) Section(partner string) *Section {
	for i := range d.Sections {
		if d.Sections[i].Partner == partner {
			return &d.Sections[i]
		}
	}
	return nil
}

// Change returns the remembered change with the id.
func (d *Document) Change(id string) (change Change, ok bool) {
	for _, change := range d.Changes {
		if change.ID == id {
			return change, true
		}
	}
	return Change{}, false
}

// ChangeID returns the id of the change that made this revision.
func (d *Document) ChangeID() string {
	if len(d.Changes) == 0 {
		return ""
	}
	return d.Changes[len(d.Changes)-1].ID
}

// WithSection returns a copy of the document in which section replaces the
// partner's previous one.
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

// WithChange returns a copy of the document whose next revision is made by the change.
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

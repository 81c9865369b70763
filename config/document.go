package config

import "time"

// RootKey is the store key of the document.
const RootKey = "config/root"

// Document is the configuration in force on every VM.
type Document struct {
	Revision uint64    `json:"revision" yaml:"revision"`
	ChangeID string    `json:"change_id" yaml:"change_id"` // identifies the write that made this revision
	Sections []Section `json:"sections" yaml:"sections"`
}

// Section is the configuration of one partner. Only its operators change it.
type Section struct {
	Partner  string          `json:"partner" yaml:"partner" validate:"required"`
	Operator string          `json:"operator" yaml:"operator"` // hash of the operators' credential
	Services []Service       `json:"services" yaml:"services" validate:"required,dive"`
	Routes   []Route         `json:"routes" yaml:"routes" validate:"required,dive"`
	Accounts []ClientAccount `json:"accounts" yaml:"accounts" validate:"required,dive"`
	Keys     []Key           `json:"keys,omitempty" yaml:"keys,omitempty" validate:"dive"`
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
	Servers     []BackendServer `json:"servers" yaml:"servers" validate:"required,dive"`
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
	Methods   []string      `json:"methods" yaml:"methods" validate:"required"`
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

// WithSection returns a copy of the document in which section replaces the
// partner's previous one. Revision and change id are left to the caller.
func (d *Document) WithSection(section Section) *Document {
	next := &Document{Revision: d.Revision, ChangeID: d.ChangeID}
	replaced := false
	for _, existing := range d.Sections {
		if existing.Partner == section.Partner {
			existing, replaced = section, true
		}
		next.Sections = append(next.Sections, existing)
	}
	if !replaced {
		next.Sections = append(next.Sections, section)
	}
	return next
}

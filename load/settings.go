package load

import "lacewingmount.dev/daemon"

// Settings describe one experiment.
type Settings struct {
	Entries  []string        `yaml:"entries" validate:"required,dive,hostname_port"`
	Direct   string          `yaml:"direct"` // address of a backend server, called for comparison; optional
	Admin    string          `yaml:"admin"`  // backend stand-in's control address, for its count of runs; optional
	Seed     uint64          `yaml:"seed"`   // of arrivals and choices
	Duration daemon.Duration `yaml:"duration" validate:"gt=0"`
	Mixes    []Mix           `yaml:"mixes" validate:"required,dive"`
}

// Mix is the load of one client account on one path.
type Mix struct {
	Account   string  `yaml:"account"` // "" on open routes
	Key       string  `yaml:"key"`     // client key; "" on open routes
	Method    string  `yaml:"method" validate:"oneof=GET HEAD POST PUT"`
	Path      string  `yaml:"path" validate:"startswith=/"`
	Rate      float64 `yaml:"rate" validate:"gt=0"` // requests per second
	Size      int     `yaml:"size"`                 // bytes of the answer
	Upload    int     `yaml:"upload"`               // bytes of the request body
	Protected bool    `yaml:"protected"`            // sends an Idempotency-Key
	Duplicate float64 `yaml:"duplicate"`            // share of protected requests sent twice, 0 to 1
}

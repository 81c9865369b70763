package load

import (
	"fmt"
	"slices"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
)

// Settings are the settings of one experiment.
type Settings struct {
	Entries  []string        `yaml:"entries" validate:"min=1,dive,hostname_port"`
	Direct   []string        `yaml:"direct" validate:"dive,hostname_port"` // backend servers to which the mixes are also sent for comparison; optional
	Seed     uint64          `yaml:"seed"`                                 // of arrival times and random choices
	Duration daemon.Duration `yaml:"duration" validate:"gt=0"`
	Accounts []Account       `yaml:"accounts" validate:"unique=Name,dive"` // limits to compare the results with; optional
	Mixes    []Mix           `yaml:"mixes" validate:"min=1,dive"`
}

// Account is the limit of a client account across the fleet.
type Account struct {
	Name  string  `yaml:"name" validate:"required"`
	Rate  float64 `yaml:"rate" validate:"gt=0"`   // requests per second
	Burst float64 `yaml:"burst" validate:"min=1"` // requests
}

// Mix is the load of one client account on one path. It is an open loop if Rate is set,
// or a closed loop if Workers is set.
type Mix struct {
	Account   string  `yaml:"account"` // "" on open routes
	Key       string  `yaml:"key"`     // client key; "" on open routes
	Method    string  `yaml:"method" validate:"oneof=GET HEAD POST PUT"`
	Path      string  `yaml:"path" validate:"startswith=/"`
	Rate      float64 `yaml:"rate" validate:"min=0"`                // requests per second of an open loop
	Workers   int     `yaml:"workers" validate:"min=0,max=1024"`    // workers of a closed loop
	Size      int     `yaml:"size" validate:"min=0,max=67108864"`   // bytes of the response body
	Upload    int     `yaml:"upload" validate:"min=0,max=67108864"` // bytes of the request body
	Protected bool    `yaml:"protected"`                            // sends an Idempotency-Key
	Duplicate float64 `yaml:"duplicate" validate:"min=0,max=1"`     // share of protected requests sent twice
}

// Validate checks the combinations of fields. Its errors are of kind errs.Invalid.
func (s *Settings) Validate() error {
	for i := range s.Mixes {
		if err := s.validateMix(&s.Mixes[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateMix(mix *Mix) error {
	name := mixName(mix)
	switch {
	case (mix.Rate > 0) == (mix.Workers > 0):
		return invalid(name+": exactly one of rate and workers must be above 0", "set one of them above 0: rate for an open loop, workers for a closed loop")
	case (mix.Account == "") != (mix.Key == ""):
		return invalid(name+": account and key must be set together", "set both, or neither for a route that is open to all")
	case mix.Duplicate > 0 && !mix.Protected:
		return invalid(name+": duplicate is set without protected", "set protected: true, or leave out duplicate")
	case mix.Duplicate > 0 && mix.Workers > 0:
		return invalid(name+": duplicate is not possible in a closed loop", "set rate instead of workers")
	case mix.Upload > 0 && (mix.Method == "GET" || mix.Method == "HEAD"):
		return invalid(name+": upload is not possible with "+mix.Method, "choose POST or PUT")
	case len(s.Accounts) > 0 && mix.Account != "" && !s.entitles(mix.Account):
		return invalid(name+": no such account in accounts", "add its rate and burst, or leave out accounts")
	}
	return nil
}

func (s *Settings) entitles(account string) bool {
	return slices.ContainsFunc(s.Accounts, func(a Account) bool { return a.Name == account })
}

// mixName returns the name of a mix in reports and errors.
func mixName(mix *Mix) string {
	account := mix.Account
	if account == "" {
		account = "(open)"
	}
	return fmt.Sprintf("%s %s %s", account, mix.Method, mix.Path)
}

func invalid(message, remedy string) error { return errs.New(errs.Invalid, message, remedy) }

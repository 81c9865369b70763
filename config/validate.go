package config

import (
	"fmt"

	"lacewingmount.dev/errs"
)

// Validate checks what concerns more than one field: references, floors, and names
// that are defined more than once. It fails with kind Invalid.
func (d *Document) Validate() error {
	v := validator{services: map[string]string{}, accounts: map[string]string{}, paths: map[string]string{}, addresses: map[string]string{}, keyHashes: map[string]string{}}
	for i := range d.Sections {
		if err := v.section(&d.Sections[i]); err != nil {
			return err
		}
	}
	return nil
}

// validator records which partner defined each name.
type validator struct {
	services, accounts, paths, addresses, keyHashes map[string]string
}

func (v *validator) section(section *Section) error {
	if section.Partner == "" {
		return errs.New(errs.Invalid, "partner is empty", "name the partner")
	}
	for i := range section.Services {
		if err := v.service(section.Partner, &section.Services[i]); err != nil {
			return err
		}
	}
	for i := range section.Accounts {
		if err := v.account(section.Partner, &section.Accounts[i]); err != nil {
			return err
		}
	}
	for i := range section.Routes {
		if err := v.route(section.Partner, &section.Routes[i]); err != nil {
			return err
		}
	}
	return v.keys(section)
}

func (v *validator) service(partner string, service *Service) error {
	if err := defineOnce(v.services, "service", service.Name, partner); err != nil {
		return err
	}
	if service.Floor < 1 || service.Floor > len(service.Servers) {
		return invalid(fmt.Sprintf("service %s: floor %d with %d servers", service.Name, service.Floor, len(service.Servers)),
			"set floor between 1 and the number of servers")
	}
	for _, server := range service.Servers {
		if err := defineOnce(v.addresses, "server address", server.Address, partner); err != nil {
			return err
		}
	}
	return nil
}

func (v *validator) account(partner string, account *ClientAccount) error {
	if account.Rate <= 0 {
		return invalid("client account "+account.Name+": rate must be above 0", "set rate in requests per second")
	}
	if account.Burst < 1 {
		return invalid("client account "+account.Name+": burst must be at least 1", "set burst in requests")
	}
	return defineOnce(v.accounts, "client account", account.Name, partner)
}

func (v *validator) route(partner string, route *Route) error {
	if v.services[route.Service] != partner {
		return invalid("route "+route.Path+": no service "+route.Service, "name a service of the same partner")
	}
	if route.Open && route.Protected {
		return invalid("route "+route.Path+": open_to_all with never_twice", "protected requests need a client account; choose one")
	}
	if !route.Upload && route.Timeout <= 0 {
		return invalid("route "+route.Path+": answer_within is missing", "set answer_within, for example 2s")
	}
	for _, method := range route.Methods {
		if err := defineOnce(v.paths, "path", method+" "+route.Path, partner); err != nil {
			return err
		}
	}
	return nil
}

func (v *validator) keys(section *Section) error {
	for _, key := range section.Keys {
		if !key.Withdrawn && v.accounts[key.Account] != section.Partner {
			return invalid("key of unknown client account "+key.Account, "withdraw the key or restore the account")
		}
		if err := defineOnce(v.keyHashes, "key", key.Hash, section.Partner); err != nil {
			return err
		}
	}
	return nil
}

// defineOnce records that the partner defines the name. It fails if the name is
// already defined. what describes the kind of name.
func defineOnce(definedBy map[string]string, what, name, partner string) error {
	if other, defined := definedBy[name]; defined {
		return invalid(fmt.Sprintf("%s %s is defined by %s and again by %s", what, name, other, partner), "choose another "+what)
	}
	definedBy[name] = partner
	return nil
}

func invalid(message, remedy string) error { return errs.New(errs.Invalid, message, remedy) }

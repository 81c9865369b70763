package config

import (
	"fmt"

	"lacewingmount.dev/errs"
)

// Validate checks what no single field can show: references, floors and claims
// on the same name by several partners.
func (d *Document) Validate() error {
	check := validation{services: map[string]string{}, accounts: map[string]string{}, paths: map[string]string{}, addresses: map[string]string{}, keyHashes: map[string]string{}}
	for i := range d.Sections {
		if err := check.section(&d.Sections[i]); err != nil {
			return err
		}
	}
	return nil
}

// validation remembers which partner defined a name first.
type validation struct {
	services, accounts, paths, addresses, keyHashes map[string]string
}

func (v *validation) section(section *Section) error {
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

func (v *validation) service(partner string, service *Service) error {
	if err := claim(v.services, "service", service.Name, partner); err != nil {
		return err
	}
	if service.Floor < 1 || service.Floor > len(service.Servers) {
		return invalid(fmt.Sprintf("service %s: floor %d with %d servers", service.Name, service.Floor, len(service.Servers)),
			"set floor between 1 and the number of servers")
	}
	for _, server := range service.Servers {
		if err := claim(v.addresses, "server address", server.Address, partner); err != nil {
			return err
		}
	}
	return nil
}

func (v *validation) account(partner string, account *ClientAccount) error {
	if account.Rate <= 0 {
		return invalid("client account "+account.Name+": rate must be above 0", "set rate in requests per second")
	}
	if account.Burst < 1 {
		return invalid("client account "+account.Name+": burst must be at least 1", "set burst in requests")
	}
	return claim(v.accounts, "client account", account.Name, partner)
}

func (v *validation) route(partner string, route *Route) error {
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
		if err := claim(v.paths, "path", method+" "+route.Path, partner); err != nil {
			return err
		}
	}
	return nil
}

func (v *validation) keys(section *Section) error {
	for _, key := range section.Keys {
		if !key.Withdrawn && v.accounts[key.Account] != section.Partner {
			return invalid("key of unknown client account "+key.Account, "withdraw the key or restore the account")
		}
		if err := claim(v.keyHashes, "key", key.Hash, section.Partner); err != nil {
			return err
		}
	}
	return nil
}

func claim(owners map[string]string, what, name, partner string) error {
	if owner, taken := owners[name]; taken {
		return invalid(fmt.Sprintf("%s %s is defined by %s and again by %s", what, name, owner, partner), "choose another "+what)
	}
	owners[name] = partner
	return nil
}

func invalid(message, remedy string) error { return errs.New(errs.Invalid, message, remedy) }

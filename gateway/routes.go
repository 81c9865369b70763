package gateway

import (
	"net"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lacewingmount.dev/platform"
)

// table is a configuration, indexed by host and by key for requests.
type table struct {
	config *platform.Config
	hosts  map[string][]*platform.Route
	keys   map[string]*platform.Account
}

func newTable(config *platform.Config) *table {
	t := &table{config: config, hosts: map[string][]*platform.Route{}, keys: map[string]*platform.Account{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
	}
	for name := range config.Accounts {
		account := config.Accounts[name]
		for _, key := range account.Keys {
			t.keys[key] = &account
		}
	}
	return t
}

// route returns the host's route with the longest matching path prefix, or nil.
func (t *table) route(host, path string) *platform.Route {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var longest *platform.Route
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) && (longest == nil || len(route.PathPrefix) > len(longest.PathPrefix)) {
			longest = route
		}
	}
	return longest
}

// service picks one of the route's services in proportion to their weights, by a
// hash of the request's ID, so that a repeated request goes to the same service.
func service(route *platform.Route, requestID string) string {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	at := int(xxhash.Sum64String(requestID) % uint64(max(1, total)))
	for _, target := range route.Targets {
		if at -= target.Weight; at < 0 {
			return target.Service
		}
	}
	return route.Targets[0].Service
}

// account returns the client account of a request; nil if the route needs none. ok
// is false if the route needs a key and the given one is not valid.
func (t *table) account(route *platform.Route, key string) (account *platform.Account, ok bool) {
	if route.Public || len(t.config.Accounts) == 0 {
		return nil, true
	}
	account = t.keys[key]
	return account, account != nil
}

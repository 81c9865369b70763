package entry

import (
	"slices"
	"strings"
	"sync/atomic"

	"lacewingmount.dev/config"
	"lacewingmount.dev/wire"
)

// Table is a configuration snapshot indexed for lookups. It is immutable.
type Table struct {
	Revision        uint64
	Members         int                        // VMs in service, at least 1
	routes          map[string][]*config.Route // by path prefix
	services        map[string]*Service
	accountsByKey   map[string]*config.ClientAccount // by key hash
	accountsByName  map[string]*config.ClientAccount
	accountPartners map[string]string // client account to partner
	servicePartners map[string]string // service to partner
}

// Service is a service and its backend servers.
type Service struct {
	Config  config.Service
	Servers []*Server
}

// Server is a backend server with its counters and connections, which are kept when a new
// Table replaces the old one.
type Server struct {
	Config   config.BackendServer
	InFlight atomic.Int64 // requests from this VM
	conns    connPool
}

// newTable builds the table of a snapshot. Servers that are unchanged since the previous
// table keep their Server value.
func newTable(snapshot wire.Snapshot, previous *Table) *Table {
	table := &Table{
		Revision:        snapshot.Document.Revision,
		Members:         max(snapshot.Members, 1),
		routes:          map[string][]*config.Route{},
		services:        map[string]*Service{},
		accountsByKey:   map[string]*config.ClientAccount{},
		accountsByName:  map[string]*config.ClientAccount{},
		accountPartners: map[string]string{},
		servicePartners: map[string]string{},
	}
	for i := range snapshot.Document.Sections {
		table.addSection(&snapshot.Document.Sections[i], previous)
	}
	for hash, account := range snapshot.Document.ActiveKeys(snapshot.Withdrawals) {
		table.accountsByKey[hash] = table.accountsByName[account]
	}
	return table
}

func (t *Table) addSection(section *config.Section, previous *Table) {
	for _, service := range section.Services {
		t.services[service.Name] = newService(service, previous)
		t.servicePartners[service.Name] = section.Partner
	}
	for i := range section.Routes {
		route := &section.Routes[i]
		t.routes[route.Path] = append(t.routes[route.Path], route)
	}
	for i := range section.Accounts {
		account := &section.Accounts[i]
		t.accountsByName[account.Name] = account
		t.accountPartners[account.Name] = section.Partner
	}
}

func newService(service config.Service, previous *Table) *Service {
	built := &Service{Config: service}
	for _, server := range service.Servers {
		built.Servers = append(built.Servers, previous.server(service.Name, server))
	}
	return built
}

// server returns the Server of the table with the same configuration, or a new one.
func (t *Table) server(service string, server config.BackendServer) *Server {
	if t != nil && t.services[service] != nil {
		for _, known := range t.services[service].Servers {
			if known.Config == server {
				return known
			}
		}
	}
	return &Server{Config: server}
}

// Route returns the route for the method among the routes with the longest matching path
// prefix. route is nil if none of them allows the method. found is false if no prefix
// matches.
func (t *Table) Route(method, path string) (route *config.Route, found bool) {
	for prefix := path; ; prefix = parentPath(prefix) {
		if routes := t.routes[prefix]; len(routes) > 0 {
			return routeForMethod(routes, method), true
		}
		if prefix == "/" {
			return nil, false
		}
	}
}

// Allowed reports whether the account may use the service, which requires that both
// belong to the same partner.
func (t *Table) Allowed(account *config.ClientAccount, service string) bool {
	return t.accountPartners[account.Name] == t.servicePartners[service]
}

func routeForMethod(routes []*config.Route, method string) *config.Route {
	for _, route := range routes {
		if slices.Contains(route.Methods, method) {
			return route
		}
	}
	return nil
}

func parentPath(path string) string {
	cut := strings.LastIndexByte(path, '/')
	if cut <= 0 {
		return "/"
	}
	return path[:cut]
}

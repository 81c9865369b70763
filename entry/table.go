package entry

import (
	"slices"
	"strings"
	"sync/atomic"

	"lacewingmount.dev/config"
	"lacewingmount.dev/wire"
)

// Table is a snapshot compiled for look-ups. It never changes once built.
type Table struct {
	Revision uint64
	Members  int
	routes   map[string][]*config.Route // by path prefix
	services map[string]*Service
	accounts map[string]*config.ClientAccount // by key hash
	byName   map[string]*config.ClientAccount
	partners map[string]string // client account to partner
	owners   map[string]string // service to partner
}

// Service is a service with its live counters, which outlast a Table.
type Service struct {
	Config  config.Service
	Servers []*Server
}

// Server is a backend server with its live counters, which outlast a Table.
type Server struct {
	Config   config.BackendServer
	InFlight atomic.Int64 // requests that this VM has there
	conns    connPool
}

// newTable compiles a snapshot. Counters of servers that stay are taken over from previous.
func newTable(snapshot wire.Snapshot, previous *Table) *Table {
	table := &Table{
		Revision: snapshot.Document.Revision,
		Members:  max(snapshot.Members, 1),
		routes:   map[string][]*config.Route{},
		services: map[string]*Service{},
		accounts: map[string]*config.ClientAccount{},
		byName:   map[string]*config.ClientAccount{},
		partners: map[string]string{},
		owners:   map[string]string{},
	}
	for i := range snapshot.Document.Sections {
		table.addSection(&snapshot.Document.Sections[i], previous)
	}
	for hash, account := range snapshot.Document.ActiveKeys(snapshot.Withdrawals) {
		table.accounts[hash] = table.byName[account]
	}
	return table
}

func (t *Table) addSection(section *config.Section, previous *Table) {
	for _, service := range section.Services {
		t.services[service.Name] = newService(service, previous)
		t.owners[service.Name] = section.Partner
	}
	for i := range section.Routes {
		route := &section.Routes[i]
		t.routes[route.Path] = append(t.routes[route.Path], route)
	}
	for i := range section.Accounts {
		account := &section.Accounts[i]
		t.byName[account.Name] = account
		t.partners[account.Name] = section.Partner
	}
}

func newService(service config.Service, previous *Table) *Service {
	built := &Service{Config: service}
	for _, server := range service.Servers {
		built.Servers = append(built.Servers, previous.server(service.Name, server))
	}
	return built
}

// server returns the known server with this address, or a new one.
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

// Route returns the route with the longest prefix of path that allows the
// method. found is true if some route has a prefix of path.
func (t *Table) Route(method, path string) (route *config.Route, found bool) {
	for prefix := path; ; prefix = parent(prefix) {
		if routes := t.routes[prefix]; len(routes) > 0 {
			return withMethod(routes, method), true
		}
		if prefix == "/" {
			return nil, false
		}
	}
}

// Allowed reports whether the account may use the service: both belong to one partner.
func (t *Table) Allowed(account *config.ClientAccount, service string) bool {
	return t.partners[account.Name] == t.owners[service]
}

func withMethod(routes []*config.Route, method string) *config.Route {
	for _, route := range routes {
		if slices.Contains(route.Methods, method) {
			return route
		}
	}
	return nil
}

func parent(path string) string {
	cut := strings.LastIndexByte(path, '/')
	if cut <= 0 {
		return "/"
	}
	return path[:cut]
}

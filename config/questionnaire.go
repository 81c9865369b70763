package config

import (
	"fmt"
	"net"
	"sort"
	"strconv"
	"time"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/errs"
)

// Questionnaire holds the answers of a partner's team about its services and
// client accounts.
type Questionnaire struct {
	Partner  string           `yaml:"partner" validate:"required"`
	Concern  Concern          `yaml:"concern" validate:"oneof=false-ejection detection-time"`
	Services []ServiceAnswers `yaml:"services" validate:"min=1,dive"`
	Accounts []ClientAccount  `yaml:"client_accounts" validate:"min=1,dive"`
}

// ServiceAnswers holds the answers about one service.
type ServiceAnswers struct {
	Name        string           `yaml:"name" validate:"required"`
	Floor       int              `yaml:"floor" validate:"min=1"`
	Slots       int              `yaml:"slots" validate:"min=1"`
	Connections int              `yaml:"connections" validate:"min=1"`
	Probe       string           `yaml:"probe" validate:"omitempty,startswith=/"` // path of a cheap request without side effects
	Servers     []ServerRange    `yaml:"servers" validate:"min=1,dive"`
	Requests    []RequestAnswers `yaml:"requests" validate:"min=1,dive"`
}

// ServerRange describes backend servers of one availability zone with
// consecutive IPv4 addresses.
type ServerRange struct {
	Zone  string `yaml:"zone" validate:"required"`
	First string `yaml:"first" validate:"hostname_port"` // address of the first server
	Count int    `yaml:"count" validate:"min=1,max=250"`
}

// RequestAnswers holds the answers about one kind of request.
type RequestAnswers struct {
	Path         string          `yaml:"path" validate:"startswith=/"`
	Methods      []string        `yaml:"methods" validate:"min=1,dive,oneof=GET HEAD POST PUT PATCH DELETE"`
	NeverTwice   bool            `yaml:"never_twice"`   // the request must not be executed twice
	OpenToAll    bool            `yaml:"open_to_all"`   // no key needed
	Upload       bool            `yaml:"upload"`        // large body, may be slow
	AnswerWithin daemon.Duration `yaml:"answer_within"` // required unless upload
}

// Generate derives a partner's section from the answers. The same answers always
// give the same section. It fails with kind Invalid if the section is not valid.
func Generate(answers Questionnaire) (Section, error) {
	section := Section{Partner: answers.Partner, Accounts: answers.Accounts}
	for _, service := range answers.Services {
		servers, err := expandServers(service)
		if err != nil {
			return Section{}, err
		}
		section.Services = append(section.Services, Service{
			Name: service.Name, Floor: service.Floor, Slots: service.Slots,
			Connections: service.Connections, Concern: answers.Concern, Probe: service.Probe, Servers: servers,
		})
		for _, request := range service.Requests {
			section.Routes = append(section.Routes, newRoute(service.Name, request))
		}
	}
	sort.Slice(section.Routes, func(i, j int) bool { return section.Routes[i].Path < section.Routes[j].Path })
	document := Document{Sections: []Section{section}}
	return section, document.Validate()
}

// newRoute derives a route to the named service.
func newRoute(service string, request RequestAnswers) Route {
	return Route{
		Path: request.Path, Methods: request.Methods, Service: service,
		Open: request.OpenToAll, Protected: request.NeverTwice, Upload: request.Upload,
		Timeout: request.AnswerWithin.Std().Round(time.Millisecond),
	}
}

// expandServers lists the servers of all ranges, numbered from 1.
func expandServers(service ServiceAnswers) ([]BackendServer, error) {
	var servers []BackendServer
	for _, serverRange := range service.Servers {
		for i := range serverRange.Count {
			address, err := offsetAddress(serverRange.First, i)
			if err != nil {
				return nil, err
			}
			name := fmt.Sprintf("%s-%d", service.Name, len(servers)+1)
			servers = append(servers, BackendServer{Name: name, Address: address, Zone: serverRange.Zone})
		}
	}
	return servers, nil
}

// offsetAddress adds offset to the last byte of an IPv4 address with port. The
// result is at most 254.
func offsetAddress(first string, offset int) (string, error) {
	host, port, err := net.SplitHostPort(first)
	if err != nil {
		return "", errs.Wrap(err, errs.Invalid, "servers.first "+first, "write it as IP:port")
	}
	ip := net.ParseIP(host).To4()
	if ip == nil || int(ip[3])+offset > 254 {
		return "", errs.New(errs.Invalid, "servers.first "+first+" leaves no IPv4 address for server "+strconv.Itoa(offset+1),
			"start with a lower IPv4 address")
	}
	ip[3] += byte(offset)
	return net.JoinHostPort(ip.String(), port), nil
}

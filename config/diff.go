package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Diff describes in words what changes from old to next; each may be nil.
func Diff(old, next *Section) []string {
	if old == nil {
		old = &Section{}
	}
	if next == nil {
		next = &Section{}
	}
	before, after := byLabel(old), byLabel(next)
	var changes []string
	for label, wanted := range after {
		present, existed := before[label]
		switch {
		case !existed:
			changes = append(changes, "add "+label)
		case !reflect.DeepEqual(present, wanted):
			changes = append(changes, "change "+label+": "+strings.Join(fieldChanges(present, wanted), ", "))
		}
	}
	for label := range before {
		if _, kept := after[label]; !kept {
			changes = append(changes, "remove "+label)
		}
	}
	slices.Sort(changes)
	return changes
}

func (s Service) key() string       { return s.Name }
func (r Route) key() string         { return strings.Join(r.Methods, ",") + " " + r.Path }
func (a ClientAccount) key() string { return a.Name }
func (k Key) key() string           { return k.Hash }

func byLabel(section *Section) map[string]any {
	items := map[string]any{}
	for _, next := range section.items() {
		items[next.label()] = next.value()
	}
	return items
}

// value returns the struct that the item holds.
func (i item) value() any {
	switch {
	case i.Service != nil:
		return *i.Service
	case i.Route != nil:
		return *i.Route
	case i.Account != nil:
		return *i.Account
	default:
		return *i.Key
	}
}

// fieldChanges describes the fields that differ between two structs of one type,
// by their names in YAML.
func fieldChanges(before, after any) []string {
	var changes []string
	old, next := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		was, is := old.Field(i).Interface(), next.Field(i).Interface()
		if reflect.DeepEqual(was, is) {
			continue
		}
		if servers, ok := was.([]BackendServer); ok {
			changes = append(changes, serverChanges(servers, is.([]BackendServer))...)
			continue
		}
		name, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("yaml"), ",")
		changes = append(changes, fmt.Sprintf("%s %v becomes %v", strings.ReplaceAll(name, "_", " "), was, is))
	}
	return changes
}

func serverChanges(old, next []BackendServer) []string {
	var changes []string
	for _, server := range next {
		if !slices.Contains(old, server) {
			changes = append(changes, fmt.Sprintf("add backend server %s at %s in %s", server.Name, server.Address, server.Zone))
		}
	}
	for _, server := range old {
		if !slices.Contains(next, server) {
			changes = append(changes, fmt.Sprintf("remove backend server %s at %s in %s", server.Name, server.Address, server.Zone))
		}
	}
	return changes
}

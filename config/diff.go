package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Diff describes each change from old to next in one line of text, sorted. Either
// section may be nil, which stands for an empty one.
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

// The id of an item is unique among the section's items of the same kind.

func (s Service) id() string       { return s.Name }
func (r Route) id() string         { return strings.Join(r.Methods, ",") + " " + r.Path }
func (a ClientAccount) id() string { return a.Name }
func (k Key) id() string           { return k.Hash }

// byLabel returns the structs of the section's items by their labels.
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

// fieldChanges describes the fields that differ between two structs of the same
// type, by their YAML names.
func fieldChanges(before, after any) []string {
	var changes []string
	old, next := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		oldValue, newValue := old.Field(i).Interface(), next.Field(i).Interface()
		if reflect.DeepEqual(oldValue, newValue) {
			continue
		}
		if servers, ok := oldValue.([]BackendServer); ok {
			changes = append(changes, serverChanges(servers, newValue.([]BackendServer))...)
			continue
		}
		name, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("yaml"), ",")
		changes = append(changes, fmt.Sprintf("%s %v becomes %v", strings.ReplaceAll(name, "_", " "), oldValue, newValue))
	}
	return changes
}

// serverChanges describes the servers that were added and removed. A changed
// server is listed as both.
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

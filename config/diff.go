package config

import (
	"fmt"
	"reflect"
	"sort"
)

// Diff describes in words what changes from old to next; each may be nil.
func Diff(old, next *Section) []string {
	if old == nil {
		old = &Section{}
	}
	if next == nil {
		next = &Section{}
	}
	var changes []string
	changes = append(changes, diffItems("service", index(old.Services, Service.key), index(next.Services, Service.key))...)
	changes = append(changes, diffItems("route", index(old.Routes, Route.key), index(next.Routes, Route.key))...)
	changes = append(changes, diffItems("client account", index(old.Accounts, ClientAccount.key), index(next.Accounts, ClientAccount.key))...)
	return append(changes, diffItems("key", index(old.Keys, Key.key), index(next.Keys, Key.key))...)
}

func (s Service) key() string       { return s.Name }
func (r Route) key() string         { return fmt.Sprint(r.Methods, " ", r.Path) }
func (a ClientAccount) key() string { return a.Name }
func (k Key) key() string           { return k.Hash }

func index[T any](items []T, key func(T) string) map[string]any {
	byKey := make(map[string]any, len(items))
	for _, item := range items {
		byKey[key(item)] = item
	}
	return byKey
}

func diffItems(what string, old, next map[string]any) []string {
	var changes []string
	for key, item := range next {
		before, existed := old[key]
		switch {
		case !existed:
			changes = append(changes, fmt.Sprintf("add %s %s", what, key))
		case !reflect.DeepEqual(before, item):
			changes = append(changes, fmt.Sprintf("change %s %s: %+v becomes %+v", what, key, before, item))
		}
	}
	for key := range old {
		if _, kept := next[key]; !kept {
			changes = append(changes, fmt.Sprintf("remove %s %s", what, key))
		}
	}
	sort.Strings(changes)
	return changes
}

package config

import (
	"encoding/json"
	"slices"
)

// Merge applies what changed from base to mine onto theirs, which also came from
// base. It returns the names of the items that both changed, if any. The keys and
// the operators' credential are always those of theirs.
func Merge(base, mine, theirs *Section) (merged Section, overlapping []string) {
	old, wanted, present := base.contents(), mine.contents(), theirs.contents()
	merged = *theirs
	merged.Services, merged.Routes, merged.Accounts, merged.sealed = nil, nil, nil, nil
	for _, name := range allNames(wanted, present) {
		next := wanted[name]
		switch {
		case next.text == old[name].text:
			next = present[name]
		case present[name].text != old[name].text && present[name].text != next.text:
			overlapping = append(overlapping, next.label(present[name]))
		}
		merged.put(next.item)
	}
	return merged, overlapping
}

// content is an item with its encoding; the zero value stands for none.
type content struct {
	item item
	text string
}

// label names the item for an operator; other stands in if it was removed.
func (c content) label(other content) string {
	if c.text == "" {
		c = other
	}
	return c.item.label()
}

// contents returns all items but the keys, by name.
func (s *Section) contents() map[string]content {
	contents := map[string]content{}
	if s == nil {
		return contents
	}
	for _, next := range s.items() {
		if next.Key != nil {
			continue
		}
		text, err := json.Marshal(next)
		if err != nil {
			panic(err) // plain structs always encode
		}
		contents[next.name()] = content{item: next, text: string(text)}
	}
	return contents
}

func allNames(a, b map[string]content) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, both := a[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *Section) put(next item) {
	switch {
	case next.Service != nil:
		s.Services = append(s.Services, *next.Service)
	case next.Route != nil:
		s.Routes = append(s.Routes, *next.Route)
	case next.Account != nil:
		s.Accounts = append(s.Accounts, *next.Account)
	case next.Key != nil:
		s.Keys = append(s.Keys, *next.Key)
	}
}

// label names the item for an operator.
func (i item) label() string {
	switch {
	case i.Service != nil:
		return "service " + i.Service.key()
	case i.Route != nil:
		return "route " + i.Route.key()
	case i.Account != nil:
		return "client account " + i.Account.key()
	default:
		return "key " + i.Key.key()
	}
}

package config

import (
	"encoding/json"
	"slices"
)

// Merge is a three-way merge: it applies the changes from base to mine to theirs,
// which is also based on base. It returns the labels of the items that both
// changed in different ways. The client keys and the operators' public key are
// always taken from theirs.
func Merge(base, mine, theirs *Section) (merged Section, overlapping []string) {
	old, wanted, present := base.encodedItems(), mine.encodedItems(), theirs.encodedItems()
	merged = *theirs
	merged.Services, merged.Routes, merged.Accounts, merged.signedForm = nil, nil, nil, nil
	for _, sortKey := range allSortKeys(wanted, present) {
		next := wanted[sortKey]
		switch {
		case next.text == old[sortKey].text:
			next = present[sortKey]
		case present[sortKey].text != old[sortKey].text && present[sortKey].text != next.text:
			overlapping = append(overlapping, next.label(present[sortKey]))
		}
		merged.addItem(next.item)
	}
	return merged, overlapping
}

// encodedItem is an item with its JSON encoding. The zero value stands for a
// missing item.
type encodedItem struct {
	item item
	text string
}

// label describes the item to an operator, or other if the item is missing.
func (e encodedItem) label(other encodedItem) string {
	if e.text == "" {
		e = other
	}
	return e.item.label()
}

// encodedItems returns all items except client keys, by sort key.
func (s *Section) encodedItems() map[string]encodedItem {
	encodedItems := map[string]encodedItem{}
	if s == nil {
		return encodedItems
	}
	for _, next := range s.items() {
		if next.Key != nil {
			continue
		}
		text, err := json.Marshal(next)
		if err != nil {
			panic(err) // structs of plain values can always be encoded
		}
		encodedItems[next.sortKey()] = encodedItem{item: next, text: string(text)}
	}
	return encodedItems
}

// allSortKeys returns the sort keys that a, b or both contain, in ascending order.
func allSortKeys(a, b map[string]encodedItem) []string {
	var sortKeys []string
	for sortKey := range a {
		sortKeys = append(sortKeys, sortKey)
	}
	for sortKey := range b {
		if _, both := a[sortKey]; !both {
			sortKeys = append(sortKeys, sortKey)
		}
	}
	slices.Sort(sortKeys)
	return sortKeys
}

// addItem appends the item to the list of its kind.
func (s *Section) addItem(next item) {
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

// label describes the item to an operator.
func (i item) label() string {
	switch {
	case i.Service != nil:
		return "service " + i.Service.id()
	case i.Route != nil:
		return "route " + i.Route.id()
	case i.Account != nil:
		return "client account " + i.Account.id()
	default:
		return "key " + i.Key.id()
	}
}

// Package membership keeps a VM's view of which other VMs are in service and
// chooses the home of a key among them. It is deterministic: time and messages
// are passed in. Views of different VMs may differ for a while; users of a home
// must be safe with two homes at once.
package membership

package metastore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"lacewingmount.dev/errs"
)

// Memory is an in-memory store and list of VMs, for tests and for the platform's
// stand-in.
type Memory struct {
	mu      sync.Mutex
	now     func() time.Time
	version Version
	entries map[string]Entry
	leases  map[LeaseID]memoryLease
	nextID  LeaseID
	vms     []VM
	changed chan struct{}
}

type memoryLease struct {
	ttl     time.Duration
	expires time.Time
}

// NewMemory returns an empty store that uses now as its clock.
func NewMemory(now func() time.Time) *Memory {
	return &Memory{
		now:     now,
		entries: map[string]Entry{},
		leases:  map[LeaseID]memoryLease{},
		changed: make(chan struct{}),
	}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	entry, ok := m.entries[key]
	if !ok {
		return Entry{}, errs.New(errs.NotFound, "no key "+key, "check the key")
	}
	return entry, nil
}

// List implements Store.
func (m *Memory) List(_ context.Context, prefix string) ([]Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	return m.after(prefix, 0), nil
}

// CompareAndSwap implements Store.
func (m *Memory) CompareAndSwap(_ context.Context, key string, value []byte, expect Version, id LeaseID) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, errs.New(errs.Invalid, "value of "+key+" is larger than 1 MiB", "split the value")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if m.entries[key].Version != expect {
		return 0, errs.New(errs.Conflict, key+" was changed by another writer", "read it again and reapply the change")
	}
	if _, ok := m.leases[id]; id != 0 && !ok {
		return 0, errs.New(errs.NotFound, "the lease has lapsed", "grant a new lease")
	}
	m.version++
	m.entries[key] = Entry{Key: key, Value: value, Version: m.version, Lease: id}
	m.notifyWatchers()
	return m.version, nil
}

// Delete implements Store.
func (m *Memory) Delete(_ context.Context, key string, expect Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if m.entries[key].Version != expect {
		return errs.New(errs.Conflict, key+" was changed by another writer", "read it again")
	}
	delete(m.entries, key)
	return nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		entries, changed := m.poll(prefix, after)
		if len(entries) > 0 {
			return entries, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil, nil
		case <-ctx.Done():
			return nil, errs.Wrap(ctx.Err(), errs.Unavailable, "watch ended", "watch again")
		}
	}
}

// GrantLease implements Store.
func (m *Memory) GrantLease(_ context.Context, ttl time.Duration) (LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	m.leases[m.nextID] = memoryLease{ttl: ttl, expires: m.now().Add(ttl)}
	return m.nextID, nil
}

// RenewLease implements Store.
func (m *Memory) RenewLease(_ context.Context, id LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	held, ok := m.leases[id]
	if !ok {
		return errs.New(errs.NotFound, "the lease has lapsed", "grant a new lease")
	}
	held.expires = m.now().Add(held.ttl)
	m.leases[id] = held
	return nil
}

// LapseLeases expires every lease at once. It simulates a fault of the platform.
func (m *Memory) LapseLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.dropLease(id)
	}
}

// VMs implements VMList.
func (m *Memory) VMs(context.Context) ([]VM, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]VM(nil), m.vms...), nil
}

// SetVMs replaces the list of VMs.
func (m *Memory) SetVMs(vms []VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = append([]VM(nil), vms...)
}

// poll returns the result of the method after and a channel that is closed at the
// next write.
func (m *Memory) poll(prefix string, after Version) ([]Entry, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	return m.after(prefix, after), m.changed
}

// after returns the entries under prefix that were written after a version, ordered by key.
func (m *Memory) after(prefix string, after Version) []Entry {
	var found []Entry
	for key, entry := range m.entries {
		if strings.HasPrefix(key, prefix) && entry.Version > after {
			found = append(found, entry)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// expire ends the leases whose TTL has passed.
func (m *Memory) expire() {
	now := m.now()
	for id, held := range m.leases {
		if now.After(held.expires) {
			m.dropLease(id)
		}
	}
}

func (m *Memory) dropLease(id LeaseID) {
	delete(m.leases, id)
	for key, entry := range m.entries {
		if entry.Lease == id {
			delete(m.entries, key)
		}
	}
}

func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

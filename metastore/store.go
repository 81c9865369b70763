package metastore

import (
	"context"
	"time"

	"lacewingmount.dev/errs"
)

// Version is the number of a write. It grows with each write to the store; 0 means
// that the key does not exist.
type Version uint64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// MaxValueBytes is the largest size of a value in bytes.
const MaxValueBytes = 1 << 20

// Entry is one key with its value and the version of its last write.
type Entry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
}

// Store is the platform's key-value service.
//
// Every method can fail with kind Unavailable (not performed). A write can also
// fail with kind Ambiguous: its response was lost and it may have taken effect,
// so the caller must read the key back before it writes again.
type Store interface {
	// Get returns the entry, or an error of kind NotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's version is expect, where 0
	// means that the key must not exist. Otherwise it fails with kind Conflict.
	// With a lease, the key is deleted when the lease expires; if the lease has
	// expired already, it fails with kind NotFound. A value larger than
	// MaxValueBytes fails with kind Invalid.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
	// Delete removes the key if its version is expect. Otherwise it fails with kind Conflict.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch returns the entries under prefix that were written after the given
	// version, waiting up to wait for the first one. An empty result means that
	// nothing changed. Deletions are not reported.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, error)
	// GrantLease returns a lease that expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends the lease. It fails with kind NotFound if the lease has expired.
	RenewLease(ctx context.Context, lease LeaseID) error
}

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name    string `json:"name" yaml:"name" validate:"required"`
	Zone    string `json:"zone" yaml:"zone" validate:"required"`
	Address string `json:"address" yaml:"address" validate:"hostname_port"` // of the VM's agent
	Leaving bool   `json:"leaving,omitempty" yaml:"leaving"`                // the VM is leaving the fleet
}

// VMList reads the platform's list of VMs. The list may be out of date.
type VMList interface {
	// VMs returns the VMs in the list.
	VMs(ctx context.Context) ([]VM, error)
}

// ConfirmWrite performs a write whose response may be lost. If write fails with kind
// Ambiguous, ConfirmWrite calls applied, which reads back whether the write took effect.
// It then returns nil or an error of kind Conflict, or the original error if the
// read fails.
func ConfirmWrite(ctx context.Context, write func() error, applied func(context.Context) (bool, error)) error {
	err := write()
	if errs.KindOf(err) != errs.Ambiguous {
		return err
	}
	done, readErr := applied(ctx)
	if readErr != nil {
		return err
	}
	if done {
		return nil
	}
	return errs.Wrap(err, errs.Conflict, "the write did not take effect", "read the current value and try again")
}

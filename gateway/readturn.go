package gateway

import "time"

const (
	readerRankDelay     = 80 * time.Millisecond   // between one VM and the next in the order in which they take over from a silent reader
	readerTakeoverDelay = 900 * time.Millisecond  // without updates before the next VM reads; two updates may be lost
	maxReaderDelay      = 1500 * time.Millisecond // without updates, after which the other VMs begin to read; configurations must be in force within 2 s
	readSpread          = 2 * time.Millisecond    // between the first reads of one of these VMs and the next; the first one that succeeds updates the others
	maxReadSpread       = 700 * time.Millisecond  // between the first and the last of them
	settleTime          = time.Second             // after the start, in which a VM does not know all others yet
	storeRetryDelay     = 250 * time.Millisecond  // after a failed call, before the next one
	maxStoreRetryDelay  = 2 * time.Second         // the same after several failed calls, for VMs that are not among the first readers
	firstReaders        = 4                       // VMs that read the store again soon after a failed call; they update the others
)

// readTurn decides when a VM reads the store. rank is its position in the order of
// readers. The first VM reads for all; the others do so one after the other when they
// have got no updates for some time.
type readTurn struct {
	rank     int
	settling bool // has a configuration but may not know all VMs yet, so it takes none of their turns
}

// isReader reports whether the VM reads the store for all others.
func (t readTurn) isReader() bool { return t.rank == 0 && !t.settling }

// wait returns how long a read waits for the first change. A VM that takes over does not
// wait: the other VMs are about to read as well.
func (t readTurn) wait() time.Duration {
	if t.isReader() {
		return watchWait
	}
	return 0
}

// silence returns the time without updates after which the VM reads the store.
func (t readTurn) silence() time.Duration {
	if t.isReader() {
		return 0
	}
	rank := time.Duration(max(1, t.rank))
	delay := readerTakeoverDelay + rank*readerRankDelay
	if delay <= maxReaderDelay {
		return delay
	}
	inTurn := (maxReaderDelay - readerTakeoverDelay) / readerRankDelay // ranks that have a turn of their own
	return maxReaderDelay + min(maxReadSpread, (rank-inTurn)*readSpread)
}

// retryDelay returns the time until the next call after a number of failed calls.
// random is between 0 and 1; an outage affects many VMs at the same time.
func (t readTurn) retryDelay(failures int, random float64) time.Duration {
	if t.rank < firstReaders && !t.settling {
		return storeRetryDelay
	}
	delay := storeRetryDelay
	for range failures - 1 {
		delay = min(maxStoreRetryDelay, 2*delay)
	}
	return delay/2 + time.Duration(random*float64(delay/2))
}

package gateway

import (
	"time"

	"lacewingmount.dev/catalog"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/placement"
)

// kind tells the messages between VMs apart.
type kind uint8

const (
	kindHello   kind = iota + 1 // a VM started, or leaves
	kindUpdate                  // what the store holds, from the VM that reads it
	kindAsk                     // a request wants a slot
	kindAnswer                  // the home's decision
	kindEnd                     // a request is over
	kindTake                    // a request wants a token of its account
	kindTaken                   // the home's answer
	kindSync                    // what a VM has in flight; it lends its rights as well
	kindSyncAck                 // the home is alive
	kinds
)

var kindNames = [kinds]string{"", "hello", "update", "ask", "answer", "end", "take", "taken", "sync", "sync-ack"}

// Structs are arrays on the wire: fields are added at the end only.
type (
	hello struct {
		Member membership.Member
		Reply  bool // an answer to another hello
	}

	update struct {
		Age      time.Duration // since the store was read
		Revision uint64
		Digest   uint64 // of the sender's catalog
		Changes  []catalog.Change
		Whole    bool   // Changes is all that the sender knows
		Origin   string // VM that read the store, if receivers have to pass the message on
	}

	ask struct {
		Service  string
		Seq      uint64
		Safe     bool
		Priority int
		Left     time.Duration
		Target   time.Duration
		Bytes    int
		Tried    []string
		Retry    bool
		Account  string
	}

	answer struct {
		Seq        uint64
		NotHome    bool // the VM does not believe to be the service's home
		Verdict    placement.Verdict
		Server     string
		RetryAfter time.Duration
		Reason     string
		Waited     time.Duration
		Queue      int
		Failing    float64
		Home       string // with NotHome: the home, if it has been heard of lately
	}

	end struct {
		Service string
		Seq     uint64
		Server  string
		Outcome placement.Outcome
		Took    time.Duration
	}

	take struct {
		Account string
		Seq     uint64
	}

	taken struct {
		Seq        uint64
		NotHome    bool
		OK         bool
		RetryAfter time.Duration
		Home       string // with NotHome: the home, if it has been heard of lately
	}

	syncReport struct {
		Running map[string][]placement.Running // by service
	}

	syncAck struct{}
)

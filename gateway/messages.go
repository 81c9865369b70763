package gateway

import (
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lacewingmount.dev/catalog"
	"lacewingmount.dev/limit"
	"lacewingmount.dev/membership"
	"lacewingmount.dev/placement"
)

// kind identifies the type of a message between VMs.
type kind uint8

const (
	kindAnnouncement     kind = iota + 1 // a VM has started, or is leaving
	kindUpdate                           // changes of the store, from the VM that reads it
	kindPlacementRequest                 // requests a slot from the owner of a service
	kindPlacementReply                   // the owner's decision
	kindRelease                          // a request has ended, and its slot is free
	kindTake                             // requests a token from the owner of an account
	kindTakeReply                        // the owner's reply
	kindSync                             // a VM's requests in flight; also leases its part of the account rates to the owner
	kindSyncAck                          // confirms a sync: the owner is alive
	kindCount
)

// kindNames are the values of the metrics label kind.
var kindNames = [kindCount]string{"", "hello", "update", "ask", "answer", "end", "take", "taken", "sync", "sync-ack"}

// Messages are encoded as arrays, without field names: new fields go at the end.
type (
	announcement struct {
		Member membership.Member
		Reply  bool // whether this answers another announcement
	}

	update struct {
		Age      time.Duration // time since the sender's catalog was last known to match the store
		Revision uint64        // up to which the sender has applied all changes
		Digest   uint64        // of the sender's catalog
		Changes  changeList
		Whole    bool   // whether Changes are the complete contents
		Origin   string // VM that read the store, if receivers must relay the message; else ""
		Era      uint64 // of the store that has the revisions; 0 from earlier versions
		Settled  bool   // whether the sender holds no items of an earlier era
	}

	placementRequest struct {
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
		Only     []string  // if not empty, the only servers that may get the request
		Limits   limitList // of the service's servers, while the owner has not confirmed that it knows them
		// RouteRank is the rank of the route; nil from earlier versions, whose requests then
		// rank by Priority alone.
		RouteRank *int
	}

	placementReply struct {
		Seq        uint64
		NotOwner   bool // the VM is not the service's owner in its own view
		Verdict    placement.Verdict
		Server     string
		RetryAfter time.Duration
		Reason     string
		Waited     time.Duration
		Queue      int
		Failing    float64
		Owner      string   // with NotOwner: the owner in the view of the sender, if it has received a message from that VM recently; else ""
		Limit      *float64 // requests per second that the server accepts; nil if it names no limit
		AtLimit    int      // servers that had reached their limits
	}

	release struct {
		Service string
		Seq     uint64
		Server  string
		Outcome placement.Outcome
		Took    time.Duration
		Limit   *limitReport // that the server's answer names; nil if it names none
		NoLimit bool         // the server's answer shows that an earlier limit has ended
	}

	take struct {
		Account string
		Seq     uint64
		Seen    *limit.Observation // of the account's bucket at another owner; nil if the sender has none
		Rank    *int               // of the route; nil from earlier versions
	}

	takeReply struct {
		Seq        uint64
		NotOwner   bool
		OK         bool
		RetryAfter time.Duration
		Owner      string   // with NotOwner: the owner in the view of the sender, if it has received a message from that VM recently; else ""
		Level      *float64 // tokens left in the account's bucket; nil if the sender is not the owner
	}

	syncReport struct {
		Running     runningRequests
		Limits      serviceLimits // that the sender knows, unless the receiver has confirmed them
		LimitDigest uint64        // of the limits in force that the sender knows
		Groups      groupList     // that the receiver owns in the sender's view; nil from earlier versions
	}

	syncAck struct {
		Limits      serviceLimits // that the sender keeps as owner, unless the receiver knows them
		LimitDigest uint64        // of the limits in force that the sender keeps
	}
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *placementRequest) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeFields(decoder, m)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *update) DecodeMsgpack(decoder *msgpack.Decoder) error { return decodeFields(decoder, m) }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *take) DecodeMsgpack(decoder *msgpack.Decoder) error { return decodeFields(decoder, m) }

// decodeFields decodes a message of any version: fields that an earlier version lacks keep
// their values, and those that a later version adds are not read. Package msgpack rejects an
// array whose length is not the number of fields. It suits only a type that ends its datagram.
func decodeFields(decoder *msgpack.Decoder, message any) error {
	sent, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	fields := reflect.ValueOf(message).Elem()
	for i := range min(sent, fields.NumField()) {
		if err := decoder.Decode(fields.Field(i).Addr().Interface()); err != nil {
			return err
		}
	}
	return nil
}

// routeRankOf returns the rank of the route of a placement request. Earlier versions send only
// one rank, which is that of the route unless the account has one.
func routeRankOf(m *placementRequest) int {
	if m.RouteRank == nil {
		return m.Priority
	}
	return *m.RouteRank
}

// maxListLength limits the entries of a list in a message. A catalog of 12,000 servers has
// fewer.
const maxListLength = 1 << 16

// changeList is a list of changes whose declared length is checked. Package msgpack
// allocates lists of structs of any declared length.
type changeList []catalog.Change

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *changeList) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, (*[]catalog.Change)(l))
}

// runningRequests holds requests in flight by service, with the same checks.
type runningRequests map[string][]placement.Running

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *runningRequests) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeByService(decoder, (*map[string][]placement.Running)(r))
}

// groupList holds numbers of groups, with the same checks.
type groupList []int

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *groupList) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, (*[]int)(l))
}

// limitList holds the limits of a service's servers, with the same checks.
type limitList []limitReport

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *limitList) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, (*[]limitReport)(l))
}

// serviceLimits holds the limits of servers by service, with the same checks.
type serviceLimits map[string][]limitReport

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *serviceLimits) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeByService(decoder, (*map[string][]limitReport)(l))
}

// decodeByService decodes lists by service.
func decodeByService[T any](decoder *msgpack.Decoder, lists *map[string][]T) error {
	services, err := checkLength(decoder.DecodeMapLen())
	if err != nil {
		return err
	}
	*lists = map[string][]T{}
	for range services {
		service, err := decoder.DecodeString()
		if err != nil {
			return err
		}
		var list []T
		if err := decodeList(decoder, &list); err != nil {
			return err
		}
		(*lists)[service] = list
	}
	return nil
}

func decodeList[T any](decoder *msgpack.Decoder, list *[]T) error {
	length, err := checkLength(decoder.DecodeArrayLen())
	if err != nil {
		return err
	}
	*list = make([]T, length)
	for i := range *list {
		if err := decoder.Decode(&(*list)[i]); err != nil {
			return err
		}
	}
	return nil
}

// checkLength returns the declared length of a list, 0 if there is no list.
func checkLength(declared int, err error) (int, error) {
	if err == nil && declared > maxListLength {
		err = errors.Newf("a list of %d entries is declared, the limit is %d", declared, maxListLength)
	}
	return max(0, declared), err
}

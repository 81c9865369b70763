package placement

import "time"

// grant is one slot of a server, reserved for a request.
type grant struct {
	requestID  RequestID
	server     *server
	startedAt  time.Time
	overdue    bool       // was already counted as a failure
	spentLimit bool       // counts against the server's limit at this Broker
	usage      *rankUsage // of its rank; nil if another Broker granted it
}

// grantTable holds the grants of a Broker by VM and sequence number, so that a VM's
// report costs its own grants and not those of all VMs.
type grantTable struct {
	byVM  map[string]map[uint64]*grant
	count int
}

func newGrantTable() grantTable { return grantTable{byVM: map[string]map[uint64]*grant{}} }

func (t *grantTable) get(id RequestID) *grant { return t.byVM[id.VM][id.Seq] }

func (t *grantTable) add(g *grant) {
	grants := t.byVM[g.requestID.VM]
	if grants == nil {
		grants = map[uint64]*grant{}
		t.byVM[g.requestID.VM] = grants
	}
	if grants[g.requestID.Seq] == nil {
		t.count++
	}
	grants[g.requestID.Seq] = g
}

func (t *grantTable) remove(id RequestID) {
	grants := t.byVM[id.VM]
	if grants[id.Seq] == nil {
		return
	}
	t.count--
	delete(grants, id.Seq)
	if len(grants) == 0 {
		delete(t.byVM, id.VM)
	}
}

// ofVM returns the grants of one VM by sequence number. Removing grants while ranging
// over it is allowed.
func (t *grantTable) ofVM(vm string) map[uint64]*grant { return t.byVM[vm] }

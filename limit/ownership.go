package limit

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lacewingmount.dev/membership"
)

// OwnerOf returns the name of the VM that owns a group in this VM's view of the fleet.
func (l *Lender) OwnerOf(group int) string {
	if l.owners[group] == "" {
		l.owners[group] = l.chooseOwner(group)
	}
	return l.owners[group]
}

func (l *Lender) chooseOwner(group int) string {
	notSuspected := make([]membership.Member, 0, len(l.members))
	for _, member := range l.members {
		if p := l.peers[member.Name]; p == nil || !p.suspect {
			notSuspected = append(notSuspected, member)
		}
	}
	owner, ok := membership.Owner(notSuspected, "group/"+strconv.Itoa(group))
	if !ok {
		return l.self.Name
	}
	return owner.Name
}

func (l *Lender) setSuspect(p *peer, suspect bool) {
	if p.suspect != suspect {
		p.suspect = suspect
		l.owners = [GroupCount]string{}
	}
}

// Source identifies where tokens of a group come from; 0 while that is not known.
func (l *Lender) Source(group int) Source {
	ownerName := l.OwnerOf(group)
	p := l.peers[ownerName]
	if p == nil || p.incarnation == 0 {
		return 0
	}
	return Source(xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", ownerName, p.incarnation, l.self.Incarnation)))
}

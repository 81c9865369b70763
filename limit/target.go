package limit

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lacewingmount.dev/membership"
)

// Target returns the present home of a group in this VM's view.
func (l *Lender) Target(group int) string {
	if l.targets[group] == "" {
		l.targets[group] = l.chooseTarget(group)
	}
	return l.targets[group]
}

func (l *Lender) chooseTarget(group int) string {
	trusted := make([]membership.Member, 0, len(l.members))
	for _, member := range l.members {
		if p := l.peers[member.Name]; p == nil || !p.suspect {
			trusted = append(trusted, member)
		}
	}
	home, ok := membership.Owner(trusted, "group/"+strconv.Itoa(group))
	if !ok {
		return l.self.Name
	}
	return home.Name
}

func (l *Lender) setSuspect(p *peer, suspect bool) {
	if p.suspect != suspect {
		p.suspect = suspect
		l.targets = [Groups]string{}
	}
}

// Source names where tokens of a group come from, or 0 while that is not known.
func (l *Lender) Source(group int) Source {
	target := l.Target(group)
	p := l.peers[target]
	if p == nil || p.incarnation == 0 {
		return 0
	}
	return Source(xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", target, p.incarnation, l.self.Incarnation)))
}

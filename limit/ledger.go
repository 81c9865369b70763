package limit

import (
	"slices"
)

// Holding is the number of shares that one incarnation of a VM holds.
type Holding struct {
	Holder VM  `json:"holder"`
	Shares int `json:"shares"`
}

// Ledger records which VM holds how many shares. Shares that no VM holds are free.
type Ledger struct {
	Version  uint64    `json:"-"` // of the stored value
	Total    int       `json:"total"`
	Holdings []Holding `json:"holdings"`
}

// InitialShares is the number of shares of a new ledger. It is divisible by 40 and 48,
// and one share is a small part of the rate.
const InitialShares = 240

// NewLedger returns a ledger whose shares are all free.
func NewLedger() Ledger { return Ledger{Total: InitialShares} }

// Valid reports whether the holdings fit into the total and name each VM once.
func (l Ledger) Valid() bool {
	names := map[string]bool{}
	for _, holding := range l.Holdings {
		if holding.Shares <= 0 || names[holding.Holder.Name] {
			return false
		}
		names[holding.Holder.Name] = true
	}
	return l.Total > 0 && l.Free() >= 0
}

// Free returns the number of shares that no VM holds.
func (l Ledger) Free() int {
	free := l.Total
	for _, holding := range l.Holdings {
		free -= holding.Shares
	}
	return free
}

// HoldingOf returns the holding of a VM in any incarnation.
func (l Ledger) HoldingOf(name string) (Holding, bool) {
	i := l.index(name)
	if i < 0 {
		return Holding{}, false
	}
	return l.Holdings[i], true
}

func (l Ledger) index(name string) int {
	return slices.IndexFunc(l.Holdings, func(h Holding) bool { return h.Holder.Name == name })
}

// weight returns the fraction of all shares that this incarnation holds.
func (l Ledger) weight(holder VM) float64 {
	holding, ok := l.HoldingOf(holder.Name)
	if !ok || holding.Holder != holder {
		return 0
	}
	return float64(holding.Shares) / float64(l.Total)
}

// Claim gives the VM the shares of its own earlier incarnation, and free shares up to
// an equal part among the given number of VMs. It gives no free shares while that
// number is not known (0). changed is false if the VM holds all of them already.
func (l Ledger) Claim(self VM, members int) (next Ledger, changed bool) {
	held, _ := l.HoldingOf(self.Name)
	wanted := held.Shares
	if members > 0 {
		wanted += min(max(l.equalShare(members)-held.Shares, 0), l.Free())
	}
	if wanted == 0 || (held.Holder == self && wanted == held.Shares) {
		return l, false
	}
	next = l.without(self.Name)
	next.Holdings = append(next.Holdings, Holding{Holder: self, Shares: wanted})
	return next, true
}

// equalShare is an equal part of all shares, rounded up.
func (l Ledger) equalShare(members int) int { return (l.Total + members - 1) / members }

// Excess returns how many shares the VM should give back because it holds far more
// than an equal part, as after the fleet has grown.
func (l Ledger) Excess(self VM, members int) int {
	held, ok := l.HoldingOf(self.Name)
	if !ok || held.Holder != self || members == 0 {
		return 0
	}
	equalShare := l.equalShare(members)
	if held.Shares <= equalShare+equalShare/excessToleranceDivisor {
		return 0
	}
	return held.Shares - equalShare
}

const excessToleranceDivisor = 4 // up to 1/4 more than an equal part is tolerated

// Shrink frees some of a holder's shares. The holder must not have leased them for
// Timing.RestartDelay.
func (l Ledger) Shrink(holder VM, by int) Ledger {
	next := l.without("")
	for i := range next.Holdings {
		if next.Holdings[i].Holder == holder {
			next.Holdings[i].Shares -= by
		}
	}
	return next
}

// Release frees the shares of a holder.
func (l Ledger) Release(holder VM) (next Ledger, changed bool) {
	held, ok := l.HoldingOf(holder.Name)
	if !ok || held.Holder != holder {
		return l, false
	}
	return l.without(holder.Name), true
}

// Transfer moves the shares of a holder to another VM.
func (l Ledger) Transfer(from, to VM) (next Ledger, changed bool) {
	held, ok := l.HoldingOf(from.Name)
	if !ok || held.Holder != from || from.Name == to.Name {
		return l, false
	}
	next = l.without(from.Name)
	if own := next.index(to.Name); own >= 0 {
		next.Holdings[own] = Holding{Holder: to, Shares: next.Holdings[own].Shares + held.Shares}
		return next, true
	}
	next.Holdings = append(next.Holdings, Holding{Holder: to, Shares: held.Shares})
	return next, true
}

// Split divides every share into the given number of smaller ones. The fraction of
// each holder stays the same.
func (l Ledger) Split(by int) Ledger {
	next := l.without("")
	next.Total *= by
	for i := range next.Holdings {
		next.Holdings[i].Shares *= by
	}
	return next
}

// without returns a copy that lacks the VM's holding.
func (l Ledger) without(name string) Ledger {
	next := Ledger{Version: l.Version, Total: l.Total}
	for _, holding := range l.Holdings {
		if holding.Holder.Name != name {
			next.Holdings = append(next.Holdings, holding)
		}
	}
	return next
}

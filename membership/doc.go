// Package membership keeps a VM's view of which other VMs are in service and
// chooses the home of a key among them: the one VM that is responsible for the
// key. It is deterministic: time, randomness and messages are passed in,
// messages and decisions come out.
//
// The platform's list says which VMs exist and which leave, with a lag. Whether
// a VM runs is found out by exchanges: each Period a View names a few random
// peers to exchange messages with. An exchange is two-way, so a path that is cut
// in one direction counts as unreachable. A peer that misses an exchange is
// suspected, and the suspicion spreads with the messages; a suspected VM that
// hears of it denies it with a higher refutation number. A VM that stays
// suspected for SuspicionTimeout is out of the view. A VM counts another one out
// only by a suspicion that has aged in its own view, so that a VM which was cut
// off or paused cannot talk others out of the view when it returns.
//
// Views of different VMs may differ for a while; users of a home must be safe
// with two homes at once.
package membership

// Package membership is a gossip protocol with failure detection. It keeps a VM's
// view of which other VMs are in service and selects the owner of a key among
// them: the one VM that is responsible for the key. It is deterministic: the
// caller passes in the time, the random seed and the received messages, and sends
// the messages that the package returns.
//
// The platform's list shows, with a lag, which VMs exist and which are leaving.
// Exchanges detect whether a VM is running: every ExchangeInterval a View selects
// a few random peers to exchange messages with. An exchange is a request and a
// response, so a path that is cut in one direction counts as unreachable. A peer
// that does not answer is suspected, and messages spread the suspicion. A
// suspected VM that receives the suspicion refutes it with a higher refutation
// number. A VM that stays suspected for SuspicionTimeout is removed from the view.
// Each View measures that time from when it recorded the suspicion itself, so a
// VM that was cut off or paused cannot make others remove running VMs when it
// returns.
//
// Views of different VMs may differ temporarily, so the code that runs on an
// owner must be correct while a key has two owners.
package membership

// Package limit keeps every client account within its rate and burst across all
// VMs. It is deterministic: time and messages are passed in, decisions and
// messages are returned; it has no goroutine, socket or clock.
//
// # Parts
//
//   - Ledger: which VM holds how many of the fleet's shares. It is kept in the
//     platform's store and changed only by compare-and-swap. A share entitles its
//     holder to an equal part of every account's rate and burst, and does not expire.
//   - Lender: leases the VM's shares to the owner of each group of accounts. The
//     owner is the VM that rendezvous hashing picks from the lender's own view of
//     the fleet.
//   - Owner: adds up the leases it has been given, fills one token bucket per account
//     at that fraction of the account's rate, and grants tokens.
//   - Cache: the tokens of one entry. A request reserves a token when it is
//     admitted and spends it right before its first byte is sent.
//
// # Invariant
//
// For every account, with burst b and rate r:
//
//	usage in any window of length t <= b + r*t
//
// Let w(o) be the sum of the leases that owner o may use, as a fraction of all
// shares. Let the token balance of an owner be its level plus its outstanding tokens
// (granted, and neither reported spent nor expired). Then
//
//  1. the leases used by all owners add up to at most 1,
//  2. an owner's level fills at w(o)*r,
//  3. an owner's token balance is at most w(o)*b, and when an owner loses a lease,
//     the lease's part of it is removed before another owner may use the shares.
//
// By 3 and 1 the token balance of the whole fleet is at most b at any moment; by 2 and 1
// it grows by at most r a second; and each request takes one token out of it,
// which gives the bound on every window.
//
// # Why it holds
//
// Durations are asymmetric: the side that gives something away always waits longer
// than the side that received it may use it, whatever happens to messages and
// processes in between. Each decision compares the current time with the durations
// again.
//
//   - Lease: the owner counts Timing.Lease from the timestamp that it put on an
//     earlier reply and that the lender sent back, hence from before the lender sent
//     its message. The lender counts Timing.Lease plus Timing.TokenTTL from the
//     moment it prepared that message. So when the lender offers the shares to the
//     next owner, the last owner has stopped using them and every token that it
//     granted has expired. Two owners at once are harmless: shares are leased to
//     only one.
//   - Grant: the cache counts Timing.TokenTTL from the moment it sent the token
//     request, the owner from the moment it answered, which is later.
//   - Clocks are monotonic and may run at rates that differ by up to 2%: the
//     giving side adds 1/20 to its durations. The rate itself is measured by the
//     owner's clock, which may run up to 0.1% fast: buckets fill slower by that.
//   - An owner loses a lease at a known time. Its level is cut to what the
//     remaining leases allow, less all outstanding tokens; tokens granted before
//     expire within Timing.TokenTTL, during which the shares are leased to no owner.
//     A lease arrives without tokens.
//   - An owner that answers a withdrawal has dropped the lease; it refuses every
//     lease whose timestamp is not newer, hence a lease that was delayed in the
//     network. The lender then waits only for Timing.TokenTTL. A new incarnation of
//     the owner shows the same for the earlier incarnation.
//   - Reports: a token request carries what the cache holds and has spent since the
//     session began, not differences. Token requests are numbered; an older or
//     duplicate one is ignored. A cache accepts only the reply to its latest token
//     request, so tokens of a lost reply can no longer be spent once the owner
//     receives the next token request, and return to the level. Without a next
//     token request they expire.
//   - A session binds a cache to one incarnation of an owner through one
//     incarnation of a lender. Tokens of an earlier session keep their expiry and
//     are never reported again, so no other owner can renew them.
//   - Shares: a restarted agent is a new incarnation. It takes the shares of its
//     earlier incarnation by compare-and-swap and uses them Timing.Lease plus
//     Timing.TokenTTL after its own start. The shares of a VM that never comes back
//     are freed once it has been missing from the list of VMs, and its lease in the
//     store has been gone, for DefaultReclaimAfter. A holder without contact to the
//     store or any peer for ConfirmationTTL (it may have been paused) leases
//     nothing until it has contact again; an owner with a newer ledger refuses
//     shares that are no longer the lender's.
//   - Configuration: a lease is a fraction of whatever rate and burst the owner
//     knows. While owners know different revisions, the sum is below the larger
//     one. A lowered burst cuts levels at once and outstanding tokens within
//     Timing.TokenTTL.
//   - The number of shares: multiplying the total and every holder's count by the
//     same factor changes no fraction. VMs that join need no share: an owner grants
//     tokens to every VM that requests them.
//
// A bucket grants whole tokens. An owner whose leases allow less than one token of
// burst keeps none, except that an owner with more than half of all shares may
// keep one: there is only one such owner, and the others can then keep none of a
// burst below two.
//
// # Known limitation
//
// A VM that was frozen together with its clocks, and whose wall clock has not
// been corrected yet, does not know that time has passed. Until its first
// exchange with a peer it may spend the tokens in its cache, and grant tokens to
// its own callers from leases that have not expired by its clock.
package limit

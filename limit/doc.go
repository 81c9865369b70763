// Package limit keeps every client account within its rate and burst across all
// VMs. It is deterministic: time and messages are passed in, decisions and
// messages come out; it has no goroutine, socket or clock.
//
// # Parts
//
//   - Ledger: which VM holds how many of the fleet's shares. It lives in the
//     platform's store and changes by compare-and-swap only. A share is the right
//     to an equal part of every account's rate and burst, and has no expiry.
//   - Lender: lends the VM's right to the home of each group of accounts. The
//     home is the VM that rendezvous hashing picks from the lender's own view.
//   - Home: sums up the rights lent to it, fills one token bucket per account at
//     that part of the account's rate, and grants tokens.
//   - Cache: the tokens of one entry. A request reserves a token when it is
//     admitted and spends it right before its first byte leaves.
//
// # Invariant
//
// For every account, with burst b and rate r:
//
//	usage in any window of length t <= b + r*t
//
// Let w(h) be the sum of the rights that home h may use, as parts of 1. Call the
// sum of a home's level and of its tokens outstanding (granted, and neither
// reported spent nor expired) its stock. It holds that
//
//  1. the rights used by all homes together sum up to at most 1,
//  2. a home's level fills at w(h)*r,
//  3. a home's stock is at most w(h)*b, and a right that a home loses takes its
//     part of the stock with it before another home may use that right.
//
// By 3 and 1 the stock of the whole fleet is at most b at any moment; by 2 and 1
// it grows by at most r a second; and each request takes one token out of it,
// which gives the bound on every window.
//
// # Why it holds
//
// Terms are asymmetric, so that the side that gives something away always counts
// longer than the side that got it, whatever happens to messages and processes
// in between. Each decision compares the present time with the terms again.
//
//   - Lend: the home counts Terms.Lend from the stamp that it put on an earlier
//     reply and that the lender sent back, hence from before the lender sent its
//     message. The lender counts Terms.Lend plus Terms.Life from the moment it
//     prepared that message. So when the lender offers the right to the next
//     home, the last home has stopped using it and every token that it granted
//     has expired. Two homes at once are harmless: a right is lent to one only.
//   - Grant: the holder counts Terms.Life from the moment it asked, the home from
//     the moment it answered, which is later.
//   - Clocks are monotonic and may run at rates that differ by up to 2%: the
//     giving side adds a twentieth to its spans. The rate itself is measured by
//     the home's clock, which may run up to 0.1% fast: buckets fill slower by that.
//   - A home loses a right at a known time. Its level is cut to what the
//     remaining rights allow, less all tokens outstanding; tokens granted before
//     expire within Terms.Life, during which the right is lent to nobody. A right
//     arrives without tokens.
//   - A home that answers a withdrawal has dropped the right; it refuses every
//     lend whose stamp is not younger, hence a lend that was delayed on its way.
//     The lender then waits Terms.Life only. A new incarnation of the home proves
//     the same of its predecessor.
//   - Reports: an ask carries what the cache holds and has spent since the
//     session began, not differences. Asks are numbered; an older or doubled one
//     is ignored. A cache takes only the reply to its latest ask, so tokens of a
//     lost reply are dead once the home sees the next ask, and return to the
//     level. Without a next ask they expire.
//   - A session binds a cache to one incarnation of a home through one
//     incarnation of a lender. Tokens of an earlier session keep their expiry and
//     are never reported again, so nobody can renew them elsewhere.
//   - Shares: a restarted agent is a new incarnation. It takes over its
//     predecessor's shares by compare-and-swap and uses them Terms.Lend plus
//     Terms.Life after its own start. A share of a VM that never comes back is
//     freed once the list of VMs has lacked it and its lease has been gone for a
//     long bound (DefaultReclaimAfter). A holder that has heard neither the store
//     nor any peer for ConfirmFor (it may have been paused) lends nothing until
//     it has; a home with a younger ledger refuses a right that is no longer the
//     lender's.
//   - Configuration: a right is a part of whatever rate and burst the home knows.
//     While homes know different revisions, the sum is below the larger one. A
//     lowered burst cuts levels at once and outstanding tokens within Terms.Life.
//   - The number of shares: multiplying the total and every holder's count by the
//     same factor changes no part. VMs that join need no share: a home grants
//     tokens to every VM that asks.
//
// A bucket grants whole tokens. A home whose rights allow less than one token of
// burst keeps none, except that a home with more than half of all rights may
// keep one: there is only one such home, and the others can then keep none of a
// burst below two.
//
// # What remains
//
// A VM that was frozen together with its clocks, and whose wall clock has not
// been corrected yet, does not know that time has passed. Until its first
// exchange with a peer it may spend the tokens in its cache, and grant to its own
// callers from rights whose terms it still counts.
package limit

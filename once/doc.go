// Package once decides which protected requests may be sent, each at most once
// across the fleet. It is deterministic: time, requests and the answers of the
// store go in; answers and operations for the store come out.
//
// A protected request is claimed before it is sent. Claims are spread over
// buckets. The owner of a bucket keeps its claims in memory and writes them to
// a log in the store. Each log position is written by compare-and-swap at most
// once, and an owner writes a position only after the one before it is
// confirmed. A new owner takes over by winning the next position; the previous
// owner then loses its next write, steps down and has granted nothing since.
//
// The log is a ring of positions with one store key each. Positions that will be
// overwritten are first compacted into segments. Keys carry a timestamp
// (UUIDv7); claims older than the window are forgotten, after the log has
// recorded that no key as old is ever granted again.
package once

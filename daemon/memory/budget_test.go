package memory

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	megabyte  = 1 << 20
	smallVM   = 70 * megabyte // budget of a VM with 136 MB
	piece     = 256 << 10
	ownShare  = smallVM - maxReserve
	uploading = 30 << 10 // bytes per second of a slow honest upload
)

var start = time.Unix(1000, 0)

func open(b *Budget, now time.Time, account string) *Holder {
	h, _, _ := b.Open(now, account)
	return h
}

// receive lets a request receive bytes in pieces from begin on, evenly over the time.
func receive(t *testing.T, b *Budget, h *Holder, begin time.Time, bytes int64, over time.Duration) {
	t.Helper()
	b.SetPhase(begin, h, Arriving)
	for at := int64(0); at < bytes; at += piece {
		now := begin.Add(over * time.Duration(at) / time.Duration(bytes))
		n := min(piece, bytes-at)
		if verdict, _ := b.Reserve(now, h, n); verdict != Granted {
			t.Fatalf("after %d bytes: %s", at, verdict)
		}
		b.Move(now, h, n)
	}
}

// TestStalledBodyGoesBeforeHonestOnes guards against refusing the newest caller: load of 8
// stalled bodies of 8 MB, a large fast upload, a slow small one and a new caller.
func TestStalledBodyGoesBeforeHonestOnes(t *testing.T) {
	b := NewBudget(Limits{Bytes: smallVM})
	var stalled []*Holder
	for range 7 {
		h := open(b, start, "crowd")
		receive(t, b, h, start, 8*megabyte, time.Second)
		stalled = append(stalled, h)
	}
	now := start.Add(10 * time.Second)
	fast, slow := open(b, now, "printers"), open(b, now, "poets")
	receive(t, b, fast, now.Add(-time.Second), 6*megabyte, time.Second)
	receive(t, b, slow, now.Add(-2*time.Second), 2*uploading, 2*time.Second)
	fresh := open(b, now, "readers")
	b.SetPhase(now, fresh, Arriving)
	verdict, ended := b.Reserve(now, fresh, 6*megabyte)
	if verdict != Wait || len(ended) != 1 || !slices.Contains(stalled, ended[0]) {
		t.Fatalf("%s, %d ended; one stalled body must go", verdict, len(ended))
	}
	if verdict, more := b.Reserve(now, fresh, 6*megabyte); verdict != Wait || len(more) > 0 {
		t.Fatalf("%s, %d more ended before the first has gone", verdict, len(more))
	}
	b.Close(ended[0])
	if verdict, _ := b.Reserve(now, fresh, 6*megabyte); verdict != Granted {
		t.Fatalf("%s after the stalled body has gone", verdict)
	}
}

// TestWhoIsRefused checks the decisions about one holder that asks for bytes.
func TestWhoIsRefused(t *testing.T) {
	tests := []struct {
		name    string
		limit   int64
		account string // of the others, which hold 58 MB together
		phase   Phase  // of the others
		bytes   int64
		want    Verdict
	}{
		{"one body of 64 MB on a small VM", smallVM, "", Kept, 64 * megabyte, Granted},
		{"more than one caller may hold", smallVM, "", Kept, 67 * megabyte, TooLarge},
		{"no limit in the settings", 0, "other", Kept, 900 * megabyte, Granted},
		{"the others are at servers", smallVM, "other", Kept, 9 * megabyte, NoMemory},
		{"a small request while they are", smallVM, "other", Kept, SmallHolder, Granted},
		{"the others are stalled", smallVM, "other", Arriving, 9 * megabyte, Wait},
		{"the others do not read", smallVM, "other", Delivering, 9 * megabyte, Wait},
		{"the account has its share", smallVM, "own", Kept, 2 * megabyte, AccountFull},
		{"the account has its share, some stalled", smallVM, "own", Arriving, 2 * megabyte, Wait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBudget(Limits{Bytes: test.limit})
			for range 29 {
				if test.account != "" {
					h := open(b, start, test.account)
					b.Charge(h, 2*megabyte)
					b.SetPhase(start, h, test.phase)
				}
			}
			now := start.Add(10 * time.Second)
			h := open(b, now, "own")
			b.SetPhase(now, h, Arriving)
			b.Move(now, h, test.bytes)
			if verdict, _ := b.Reserve(now, h, test.bytes); verdict != test.want {
				t.Errorf("%s, want %s", verdict, test.want)
			}
		})
	}
}

// TestConnectionsThatNeverSentARequestGoFirst guards against closing connections that
// callers reuse: load of idle connections beyond the descriptors.
func TestConnectionsThatNeverSentARequestGoFirst(t *testing.T) {
	b := NewBudget(Limits{Connections: 3})
	var opened []*Holder
	for i := range 3 {
		h, _, ok := b.OpenConnection(start.Add(time.Duration(i) * time.Second))
		if !ok {
			t.Fatal("refused below the limit")
		}
		opened = append(opened, h)
	}
	now := start.Add(12 * time.Second) // four fifths of an idle time-out of 15 s
	b.SetPhase(start, opened[0], Kept)
	b.SetPhase(start, opened[0], Idle)
	b.SetPhase(start, opened[1], Kept) // a request is in progress
	_, ended, ok := b.OpenConnection(now)
	if !ok || len(ended) != 1 || ended[0] != opened[2] {
		t.Fatal("the connection without any request must be closed")
	}
	b.Close(ended[0])
	if _, ended, ok = b.OpenConnection(now); !ok || ended[0].served {
		t.Fatal("the newer connection without any request must be closed")
	}
	b.Close(ended[0])
	b.SetPhase(now, opened[0], Kept)
	for _, h := range slices.Clone(b.holders) {
		b.SetPhase(now, h, Kept)
	}
	if _, _, ok = b.OpenConnection(now); ok {
		t.Fatal("a connection was accepted beyond the limit while all are in use")
	}
}

// TestSlowestRequestMakesRoom guards against a crowd of stalled small requests that use up the
// requests in progress, and the connections.
func TestSlowestRequestMakesRoom(t *testing.T) {
	b := NewBudget(Limits{Requests: 20, Connections: 20})
	for range 20 {
		conn, _, _ := b.OpenConnection(start)
		b.SetPhase(start, conn, Kept)
	}
	now := start.Add(10 * time.Second)
	honest := open(b, now.Add(-5*time.Second), "poets")
	b.SetPhase(now.Add(-5*time.Second), honest, Arriving)
	b.Move(now, honest, 20<<10)
	atServer := open(b, start, "crowd")
	for range 18 {
		h := open(b, start, "crowd")
		b.SetPhase(start, h, Arriving)
		b.Move(start, h, 299)
	}
	for range 6 {
		h, ended, ok := b.Open(now, "readers")
		if !ok || len(ended) > 1 || slices.Contains(ended, honest) || slices.Contains(ended, atServer) {
			t.Fatalf("accepted %t, %d ended; a stalled request must go", ok, len(ended))
		}
		for _, e := range ended {
			b.Close(e)
		}
		if h.ended || b.requests > 20 {
			t.Fatalf("%d requests in progress", b.requests)
		}
	}
	accepted := 0
	for range 20 {
		conn, ended, ok := b.OpenConnection(now)
		if ok {
			accepted++
			b.SetPhase(now, conn, Kept)
		}
		if slices.Contains(ended, honest) || slices.Contains(ended, atServer) {
			t.Fatal("a request that makes progress was ended")
		}
	}
	if accepted != 5 {
		t.Fatalf("%d connections beyond the limit, 5 allowed while others close", accepted)
	}
}

// TestBudgetIsNeverExceeded plays random requests and connections, and checks that grants
// stay within the budget and that the sums agree with the holders.
func TestBudgetIsNeverExceeded(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		b, now := NewBudget(Limits{Bytes: smallVM, Connections: 50, Requests: 20}), start
		var ended []*Holder
		for range 2000 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			if len(b.holders) == 0 || random.IntN(6) == 0 {
				if random.IntN(2) == 0 {
					_, gone, _ := b.Open(now, string(rune('a'+random.IntN(5))))
					ended = append(ended, gone...)
				} else if _, gone, ok := b.OpenConnection(now); ok {
					ended = append(ended, gone...)
				}
			}
			if len(b.holders) == 0 {
				continue
			}
			h := b.holders[random.IntN(len(b.holders))]
			switch random.IntN(6) {
			case 0, 1:
				_, gone := b.Reserve(now, h, int64(random.IntN(8*megabyte)))
				ended = append(ended, gone...)
			case 2:
				b.TryReserve(h, int64(random.IntN(megabyte)))
			case 3:
				b.SetPhase(now, h, Phase(random.IntN(4)))
			case 4:
				b.Move(now, h, int64(random.IntN(megabyte)))
			case 5:
				if len(ended) > 0 && random.IntN(2) == 0 {
					b.Close(ended[0])
					ended = ended[1:]
				}
			}
			checkSums(t, seed, b)
		}
	}
}

func checkSums(t *testing.T, seed uint64, b *Budget) {
	t.Helper()
	requests := 0
	used, leaving, connections, accounts := int64(0), int64(0), 0, map[string]int64{}
	for _, h := range b.holders {
		used += h.bytes
		if h.ended {
			leaving += h.bytes
			if h.phase == Kept {
				t.Fatalf("seed %d: a holder was ended that must go on", seed)
			}
		}
		if h.account == nil {
			connections++
		} else {
			accounts[h.account.name] += h.bytes
			requests++
		}
		if h.bytes > ownShare {
			t.Fatalf("seed %d: one holder has %d bytes, %d allowed", seed, h.bytes, ownShare)
		}
	}
	if used != b.used || leaving != b.leaving || connections != b.connections || requests != b.requests || used > smallVM {
		t.Fatalf("seed %d: %d bytes in use (%d summed), %d leaving (%d summed)", seed, b.used, used, b.leaving, leaving)
	}
	for name, bytes := range accounts {
		if b.accounts[name] == nil || b.accounts[name].bytes != bytes {
			t.Fatalf("seed %d: the sum of account %s is wrong", seed, name)
		}
	}
}

// TestOrdinaryLoadIsNeverRefused guards against limits that callers inside the limits meet:
// the uploads of deployment 2 on a VM with 136 MB, at ten times its part of the rate, with
// bodies up to 600 KB, which are kept up to 2 s after they have arrived.
func TestOrdinaryLoadIsNeverRefused(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 5))
	b, now := NewBudget(Limits{Bytes: smallVM, Connections: 1435, Requests: 717}), start
	type request struct {
		*Holder
		until time.Time
	}
	var requests []request
	for range 20_000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) * 189 / 1050))
		requests = slices.DeleteFunc(requests, func(o request) bool {
			if now.Before(o.until) {
				return false
			}
			b.Close(o.Holder)
			return true
		})
		h := open(b, now, "account")
		bytes := min(600_000, int64(random.ExpFloat64()*60_000))
		b.SetPhase(now, h, Arriving)
		verdict, ended := b.Reserve(now, h, bytes)
		if verdict != Granted || len(ended) > 0 || b.Announce(now, h, bytes) != Granted {
			t.Fatalf("%s with %d requests and %d bytes held", verdict, len(requests), b.used)
		}
		requests = append(requests, request{h, now.Add(time.Duration(random.IntN(2000)) * time.Millisecond)})
	}
}

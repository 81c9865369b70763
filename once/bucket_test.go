package once

import (
	"encoding/binary"
	"testing"
	"time"
)

var simSettings = Settings{
	Window: Window{MaxAge: 2 * time.Second, MaxAhead: 500 * time.Millisecond}, RingSize: 8, CompactAfter: 4, BatchBytes: 300,
	WriteRate: 200, WriteBurst: 4, SettleDelay: 20 * time.Millisecond, RetryDelay: 20 * time.Millisecond,
	MaxClaims: 1000, MaxAnswerBytes: 100, MaxTotalAnswerBytes: 400,
}

func testHash(n int) (hash Hash64) {
	binary.BigEndian.PutUint64(hash[:], uint64(n))
	return hash
}

// runWithFaults claims the same keys several times, some after the window, through agents
// that are paused and restarted, with a store that loses and delays calls and has an
// outage.
func runWithFaults(seed uint64, unfenced bool) (keys []*simKey, s *sim) {
	s = newSim(seed, 3, simSettings)
	s.store.unfenced = unfenced
	start := s.now
	attempts := 0
	for i := range 40 {
		key := &simKey{timestamp: start.Add(s.delay(4 * time.Second))}
		binary.BigEndian.PutUint64(key.id[:], uint64(i+1))
		keys = append(keys, key)
		for range 1 + s.random.IntN(4) {
			attempts++
			attempt := &simAttempt{key: key, attemptID: testHash(attempts), digest: testHash(s.random.IntN(10) / 9)}
			late := s.delay(200 * time.Millisecond)
			if s.chance(0.3) {
				late = s.delay(5 * time.Second) // may be after the window
			}
			s.after(key.timestamp.Sub(start)+late, func() { s.claim(attempt) })
		}
	}
	for range 12 {
		agent := s.agents[s.random.IntN(len(s.agents))]
		pause := s.delay(400 * time.Millisecond)
		s.after(s.delay(6*time.Second), func() { agent.paused = s.now.Add(pause) })
		restarted := s.agents[s.random.IntN(len(s.agents))]
		if s.chance(0.5) {
			s.after(s.delay(6*time.Second), func() { restarted.restart() })
		}
	}
	from := s.delay(6 * time.Second)
	s.after(from, func() { s.store.down = true })
	s.after(from+s.delay(time.Second), func() { s.store.down = false })
	s.runUntil(start.Add(12 * time.Second))
	return keys, s
}

const seedCount = 400

func TestProofOnceUnderChaos(t *testing.T) {
	ran, claimed := 0, 0
	for seed := range uint64(seedCount) {
		keys, s := runWithFaults(seed, false)
		for _, key := range keys {
			if key.runs > 1 {
				t.Fatalf("seed %d: request %x ran %d times", seed, key.id[:8], key.runs)
			}
			ran += key.runs
			claimed++
		}
		checkRecovered(t, seed, keys, s)
	}
	t.Logf("%d of %d requests ran", ran, claimed)
	if ran < claimed/2 {
		t.Fatalf("only %d of %d requests ran; the faults left too few to test", ran, claimed)
	}
}

// checkRecovered claims every key again without faults. Each claim must get a verdict.
func checkRecovered(t *testing.T, seed uint64, keys []*simKey, s *sim) {
	t.Helper()
	s.faults = false
	for i, key := range keys {
		key.timestamp = s.now // inside the window; the bucket finds the record by ID
		verdict := s.claimAt(0, key, 10_000+i, 0)
		if verdict == "" || s.agents[0].bucket.LoadError() != nil {
			t.Fatalf("seed %d: no verdict on request %d, %v", seed, i, s.agents[0].bucket.LoadError())
		}
	}
}

// TestControlOnceWithoutFencing is the negative control: with a store that does not
// compare versions, two owners grant the same request.
func TestControlOnceWithoutFencing(t *testing.T) {
	for seed := range uint64(seedCount) {
		keys, _ := runWithFaults(seed, true)
		for _, key := range keys {
			if key.runs > 1 {
				return
			}
		}
	}
	t.Fatal("the control must show a request that ran twice")
}

// claimAt claims a key at an agent of a sim without faults and returns the verdict. It retries
// once if the agent finds that it no longer owns the bucket.
func (s *sim) claimAt(agent int, key *simKey, attempt, digest int) Verdict {
	claimed := &simAttempt{key: key, attemptID: testHash(attempt), digest: testHash(digest), probe: true}
	for range 2 {
		s.call(s.agents[agent], claimed)()
		s.runUntil(s.now.Add(100 * time.Millisecond))
		if claimed.verdict != NotOwner {
			break
		}
	}
	return claimed.verdict
}

// end settles an attempt at an agent.
func (s *sim) end(agent int, key *simKey, attempt int, end Settlement) {
	end.ID, end.Timestamp, end.Attempt = key.id, key.timestamp, testHash(attempt)
	s.agents[agent].do(func() { s.agents[agent].bucket.Settle(s.agents[agent].clock(), end) })
	s.runUntil(s.now.Add(100 * time.Millisecond))
}

const longWindow = 10 * time.Second

func newSimWithoutFaults(agents int) *sim {
	settings := simSettings
	settings.Window.MaxAge = longWindow
	s := newSim(1, agents, settings)
	s.faults = false
	return s
}

func (s *sim) newKey(n int, timestamp time.Duration) *simKey {
	key := &simKey{timestamp: s.now.Add(timestamp)}
	binary.BigEndian.PutUint64(key.id[:], uint64(n))
	return key
}

func TestVerdicts(t *testing.T) {
	s := newSimWithoutFaults(2)
	key, kept, released := s.newKey(1, 0), s.newKey(2, 0), s.newKey(3, 0)
	expect := func(what string, got, want Verdict) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	expect("first", s.claimAt(0, key, 1, 1), Granted)
	expect("same attempt again", s.claimAt(0, key, 1, 1), Granted)
	expect("duplicate", s.claimAt(0, key, 2, 1), Pending)
	expect("duplicate through another owner", s.claimAt(1, key, 3, 1), Pending)
	expect("other body", s.claimAt(1, key, 4, 2), Mismatch)
	expect("ahead of time", s.claimAt(1, s.newKey(9, 700*time.Millisecond), 5, 1), TooEarly)
	expect("too old", s.claimAt(1, s.newKey(10, -11*time.Second), 6, 1), TooOld)

	expect("to be answered", s.claimAt(1, kept, 7, 1), Granted)
	s.end(1, kept, 7, Settlement{Kept: []byte("answer")})
	expect("answered", s.claimAt(1, kept, 8, 1), Replay)
	expect("answered, at another owner", s.claimAt(0, kept, 9, 1), Replay)

	expect("to be released", s.claimAt(0, released, 10, 1), Granted)
	s.end(0, released, 10, Settlement{NotRun: true})
	expect("released attempt", s.claimAt(0, released, 10, 1), Abandoned)
	expect("released, with another body", s.claimAt(0, released, 11, 2), Granted)

	abandoned := s.newKey(4, 0)
	s.end(0, abandoned, 12, Settlement{NotRun: true})
	expect("claim that arrives after its release", s.claimAt(0, abandoned, 12, 1), Abandoned)
	expect("next attempt", s.claimAt(0, abandoned, 13, 1), Granted)
}

// Claims survive the overwriting of their log position through compaction. After the
// window they are removed from memory and from the store.
func TestClaimsSurviveCompactionAndExpireAfterWindow(t *testing.T) {
	s := newSimWithoutFaults(2)
	first := s.newKey(1, 0)
	s.claimAt(0, first, 1, 1)
	for i := range 4 * simSettings.RingSize {
		key := s.newKey(100+i, 0)
		s.claimAt(0, key, 100+i, 1)
		s.end(0, key, 100+i, Settlement{Kept: []byte("answer")})
	}
	if got := s.claimAt(1, first, 2, 1); got != Pending {
		t.Fatalf("a claim that the ring has overwritten: %s", got)
	}
	most := len(s.store.values)
	s.runUntil(s.now.Add(3 * longWindow))
	if got := s.claimAt(1, first, 3, 1); got != TooOld {
		t.Fatalf("after the window: %s", got)
	}
	s.runUntil(s.now.Add(longWindow))
	left, claimCount := len(s.store.values), s.agents[1].bucket.Claims()
	for _, agent := range s.agents {
		if l := agent.bucket.claims; len(l.waiting)+len(l.dirty) > 0 || len(l.answerOrder) > len(l.records) {
			t.Fatalf("%d open, %d dirty, %d kept of %d claims", len(l.waiting), len(l.dirty), len(l.answerOrder), len(l.records))
		}
	}
	if left >= most || left > simSettings.RingSize || claimCount != 0 {
		t.Fatalf("%d keys of %d and %d claims are left after the window", left, most, claimCount)
	}
}

// A burst with more writes than the ring has positions is compacted before it overwrites
// its own positions, so that a new owner in the middle of the burst knows all grants.
func TestBurstLongerThanTheRing(t *testing.T) {
	s := newSimWithoutFaults(2)
	var burst []*simAttempt
	for i := range 80 {
		burst = append(burst, &simAttempt{key: s.newKey(i+1, 0), attemptID: testHash(i), probe: true})
		s.call(s.agents[0], burst[i])()
	}
	for s.agents[0].bucket.log.last < uint64(simSettings.RingSize)+2 {
		s.runUntil(s.now.Add(time.Millisecond))
	}
	s.runUntil(s.now.Add(5 * time.Millisecond)) // replies arrive
	s.agents[0].paused = s.now.Add(time.Hour)
	granted := 0
	for i, claimed := range burst {
		if claimed.verdict != Granted {
			continue
		}
		granted++
		if got := s.claimAt(1, claimed.key, 1000+i, 0); got != Pending {
			t.Fatalf("claim %d after a takeover: %s", i, got)
		}
	}
	if granted < 40 || granted == len(burst) {
		t.Fatalf("%d granted; want the takeover in the middle of the burst", granted)
	}
}

// A key that one owner dropped is refused by the next owner, even if the key is inside the
// window by the next owner's clock.
func TestFloorOutlivesClockSkew(t *testing.T) {
	s := newSimWithoutFaults(2)
	s.agents[0].skew, s.agents[1].skew = time.Second, -time.Second
	key := s.newKey(1, 0)
	if got := s.claimAt(0, key, 1, 1); got != Granted {
		t.Fatal(got)
	}
	s.runUntil(s.now.Add(longWindow - 500*time.Millisecond))
	s.claimAt(0, s.newKey(2, 0), 2, 1) // raises the floor
	if got := s.claimAt(1, key, 3, 1); got != TooOld {
		t.Fatalf("a key that the previous owner dropped: %s", got)
	}
}

func TestStoredAnswersAreBounded(t *testing.T) {
	s := newSimWithoutFaults(1)
	replays := 0
	for i := range 10 {
		key := s.newKey(i+1, 0)
		s.claimAt(0, key, 2*i+1, 1)
		s.end(0, key, 2*i+1, Settlement{Kept: make([]byte, simSettings.MaxAnswerBytes)})
		if s.claimAt(0, key, 2*i+2, 1) == Replay {
			replays++
		}
	}
	if kept := s.agents[0].bucket.claims.answerBytes; replays != 10 || kept > simSettings.MaxTotalAnswerBytes {
		t.Fatalf("%d replays, %d bytes kept", replays, kept)
	}
}

// During a store outage nothing is granted. Refused means that the claim was not recorded;
// InDoubt means that it may have been.
func TestStoreOutageGrantsNothing(t *testing.T) {
	for release, after := range map[bool]Verdict{true: Granted, false: Pending} {
		s := newSimWithoutFaults(2)
		before, during := s.newKey(1, 0), s.newKey(2, 0)
		s.claimAt(0, before, 1, 1)
		s.store.down = true
		if got := s.claimAt(0, during, 2, 1); got != InDoubt {
			t.Errorf("claim whose write got no answer: %s", got)
		}
		if got := s.claimAt(0, s.newKey(3, 0), 3, 1); got != Refused {
			t.Errorf("claim while the store is known to be down: %s", got)
		}
		if got := s.claimAt(0, before, 4, 1); got != Pending {
			t.Errorf("duplicate of an earlier request: %s", got)
		}
		if release {
			s.end(0, during, 2, Settlement{NotRun: true})
		}
		s.store.down = false
		s.runUntil(s.now.Add(time.Second))
		if got := s.claimAt(0, during, 5, 1); got != after {
			t.Errorf("after the outage, released %t: %s, want %s", release, got, after)
		}
	}
}

package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	removeAfter    = time.Minute          // after the last state change, for a VM that does not run and is not on the list
	avoidDuration  = 2 * time.Second      // how long a VM is left out of the view after a call to it failed
	pauseThreshold = 3 * ExchangeInterval // a longer gap between rounds means that this VM was paused
	resendFactor   = 1                    // an update is sent resendFactor * log2(members) times
	syncRounds     = 2                    // number of rounds in which a VM that has just started requests all suspicions
)

// View is the state that one VM holds about the other VMs. It is not safe for
// concurrent use.
type View struct {
	self            Update
	random          *rand.Rand
	records         map[string]*record
	byName          []*record // sorted by name, so that equal inputs give equal decisions
	seeds           []*record // addresses of agents whose names are unknown
	listed          bool      // the platform's list was received at least once
	lastRound       time.Time
	rounds          int
	selfSends       int
	exchangeHistory exchangeHistory
}

// record holds what this VM knows about one other VM.
type record struct {
	update        Update
	listed        bool
	listedLeaving bool
	absentSince   time.Time // when a list without the VM was first received; zero if none was or the VM is listed again
	suspectedAt   time.Time
	missedAt      time.Time // first unanswered exchange with this VM since the last answered one; zero if none
	changedAt     time.Time
	avoidUntil    time.Time
	sends         int // how often the newest update was sent
}

// NewView returns the view of a VM that has just started. self.Incarnation must
// be higher than that of earlier starts, for example the wall clock. If the clock
// was set back and a peer reports a higher incarnation, the view raises its own.
// seed seeds the random selection of peers.
func NewView(self Member, seed uint64) *View {
	return &View{
		self:    Update{Name: self.Name, Zone: self.Zone, Address: self.Address, Incarnation: self.Incarnation},
		random:  rand.New(rand.NewPCG(seed, seed)),
		records: map[string]*record{},
	}
}

// Self returns this VM as its messages describe it.
func (v *View) Self() Member { return v.self.member() }

// SetList applies the platform's current list of VMs, which may include this VM.
func (v *View) SetList(now time.Time, list []Member) {
	v.listed = true
	present := map[string]bool{}
	for _, member := range list {
		present[member.Name] = true
		if member.Name == v.self.Name {
			v.setLeaving(member.Leaving)
			continue
		}
		r := v.record(now, member.Name)
		r.listed, r.absentSince = true, time.Time{}
		r.update.Zone, r.update.Address = member.Zone, member.Address
		r.listedLeaving = member.Leaving
		if member.Leaving {
			r.update.Leaving = true
		}
	}
	for _, r := range v.byName {
		if !present[r.update.Name] && (r.listed || r.absentSince.IsZero()) {
			r.listed, r.absentSince = false, now
		}
	}
}

// AddSeeds adds addresses of agents to contact while few VMs are known, so that a
// VM can start without the platform's list.
func (v *View) AddSeeds(addresses []string) {
	for _, address := range addresses {
		if address != v.self.Address {
			v.seeds = append(v.seeds, &record{update: Update{Address: address}})
		}
	}
}

// Leave marks this VM as leaving and, if stopped is true, as Left.
func (v *View) Leave(stopped bool) {
	v.setLeaving(true)
	if stopped {
		v.self.State = Left
		v.selfSends = 0
	}
}

func (v *View) setLeaving(leaving bool) {
	if leaving && !v.self.Leaving {
		v.self.Leaving = true
		v.selfSends = 0
		v.self.Refutation++
	}
}

// Round starts a round and returns the exchanges to perform now. Call it every
// ExchangeInterval.
func (v *View) Round(now time.Time) []Probe {
	v.compensateForPause(now)
	v.lastRound = now
	v.rounds++
	v.removeStaleRecords(now)
	var probes []Probe
	for _, r := range v.selectTargets(now) {
		v.exchangeHistory.begin(now)
		probes = append(probes, Probe{To: r.update.member(), Message: v.message(r, MaxUpdates), sent: now})
	}
	v.updateQuorumContact(now)
	return probes
}

// compensateForPause shifts the timestamps of suspicions and missed exchanges by
// the time that this VM was paused and discards the exchange results, so that the
// pause does not make peers time out.
func (v *View) compensateForPause(now time.Time) {
	gap := now.Sub(v.lastRound)
	if v.lastRound.IsZero() || gap < pauseThreshold {
		return
	}
	v.exchangeHistory.attempts = nil
	for _, r := range v.byName {
		r.suspectedAt = r.suspectedAt.Add(gap)
		if !r.missedAt.IsZero() {
			r.missedAt = r.missedAt.Add(gap)
		}
	}
}

// selectTargets selects peers at random: one that missed its last exchange, if
// any, then running ones up to Fanout-1 in all, and the rest among all known
// peers, so that healed partitions are detected. While fewer than Fanout peers
// are known, seeds are added.
func (v *View) selectTargets(now time.Time) []*record {
	var live, missed, candidates []*record
	for _, r := range v.byName {
		if r.update.Address == "" || r.update.State == Left {
			continue
		}
		candidates = append(candidates, r)
		if !r.running(now) {
			continue
		}
		live = append(live, r)
		if !r.missedAt.IsZero() {
			missed = append(missed, r)
		}
	}
	var chosen []*record
	chosen = v.appendRandom(chosen, missed, 1)
	chosen = v.appendRandom(chosen, live, Fanout-1)
	chosen = v.appendRandom(chosen, candidates, Fanout)
	return v.appendRandom(chosen, v.seeds, min(Fanout, len(chosen)+Fanout-len(candidates)))
}

// appendRandom appends random records of from to chosen until chosen holds want
// records or from is used up.
func (v *View) appendRandom(chosen, from []*record, want int) []*record {
	from = slices.Clone(from)
	for len(chosen) < want && len(from) > 0 {
		i := v.random.IntN(len(from))
		if !slices.Contains(chosen, from[i]) {
			chosen = append(chosen, from[i])
		}
		from[i] = from[len(from)-1]
		from = from[:len(from)-1]
	}
	return chosen
}

// Receive applies a peer's message and returns the answer to it.
func (v *View) Receive(now time.Time, message Message) Message {
	v.applyMessage(now, message)
	limit := MaxUpdates
	if message.Sync {
		limit = maxSyncUpdates
	}
	from := v.records[message.From.Name]
	answer := v.message(from, limit)
	if from != nil && from.update.State == Alive && from.update.supersedes(message.From) {
		answer.Updates = append(answer.Updates, from.update) // the peer's clock was set back: report the higher incarnation to it
	}
	return answer
}

// Answered applies the answer to an exchange.
func (v *View) Answered(now time.Time, probe Probe, answer Message) {
	v.exchangeHistory.end(probe.sent, true)
	v.applyMessage(now, answer)
	if r := v.records[answer.From.Name]; r != nil {
		r.missedAt = time.Time{}
	}
	v.updateQuorumContact(now)
}

// Missed records that an exchange got no answer within ExchangeTimeout. A peer
// that was Alive becomes Suspected. Exchanges sent more than pauseThreshold ago are
// ignored.
func (v *View) Missed(now time.Time, probe Probe) {
	v.exchangeHistory.end(probe.sent, false)
	r := v.records[probe.To.Name]
	if r == nil || now.Sub(probe.sent) > pauseThreshold {
		return
	}
	if r.missedAt.IsZero() {
		r.missedAt = now
	}
	if r.update.State != Alive {
		return
	}
	r.update.State = Suspected
	r.suspectedAt, r.changedAt = now, now
	r.sends = 0
}

// Avoid keeps a VM out of this view for a short time after a call to it failed.
func (v *View) Avoid(now time.Time, name string) {
	if r := v.records[name]; r != nil {
		r.avoidUntil = now.Add(avoidDuration)
	}
}

func (v *View) applyMessage(now time.Time, message Message) {
	v.applyUpdate(now, message.From)
	for _, update := range message.Updates {
		v.applyUpdate(now, update)
	}
}

func (v *View) applyUpdate(now time.Time, update Update) {
	if update.Name == v.self.Name {
		v.refute(update)
		return
	}
	r := v.record(now, update.Name)
	known := r.update
	if update.Incarnation == known.Incarnation && update.Leaving && !known.Leaving {
		r.update.Leaving, r.sends = true, 0
	}
	if !update.supersedes(known) {
		return
	}
	if r.listed || update.Address == "" { // for listed VMs the list determines the address
		update.Zone, update.Address = known.Zone, known.Address
	}
	if update.Incarnation == known.Incarnation || r.listedLeaving {
		update.Leaving = update.Leaving || known.Leaving
	}
	if update.State == Suspected {
		r.suspectedAt = now
	}
	if update.State != known.State {
		r.changedAt = now
	}
	r.update, r.sends = update, 0
}

// refute raises the incarnation or refutation of this VM above those of an update
// that would make others ignore its messages or remove it from their views.
func (v *View) refute(update Update) {
	if update.Incarnation > v.self.Incarnation {
		v.self.Incarnation = update.Incarnation + 1
		v.selfSends = 0
		return
	}
	if update.Incarnation == v.self.Incarnation && update.State != Alive && update.Refutation >= v.self.Refutation && v.self.State != Left {
		v.self.Refutation = update.Refutation + 1
		v.selfSends = 0
	}
}

// message returns a message to a peer. If the peer is not Alive in this view, its
// own update comes first, so that the peer can refute it; then the updates that
// were sent least often.
func (v *View) message(to *record, limit int) Message {
	message := Message{From: v.self, Sync: v.rounds <= syncRounds}
	if to != nil && to.update.State != Alive {
		message.Updates = append(message.Updates, compact(to.update))
	}
	if !v.hasMajorityContact() {
		return message
	}
	for _, r := range v.pending(to, limit) {
		if len(message.Updates) >= limit {
			break
		}
		r.sends++
		message.Updates = append(message.Updates, compact(r.update))
	}
	return message
}

// hasMajorityContact reports whether most recent exchanges were answered. Without
// that a VM does not pass on updates, since it is more likely cut off itself than
// its peers are.
func (v *View) hasMajorityContact() bool { return v.exchangeHistory.majorityAnswered(v.lastRound) }

func (v *View) pending(to *record, limit int) []*record {
	sendLimit := resendFactor * bits.Len(uint(len(v.byName)))
	var pending []*record
	for _, r := range v.byName {
		due := r.sends < sendLimit || (limit > MaxUpdates && r.update.State != Alive)
		if due && r != to && r.update.Incarnation > 0 {
			pending = append(pending, r)
		}
	}
	slices.SortStableFunc(pending, func(a, b *record) int { return a.sends - b.sends })
	return pending
}

// compact removes the zone and address from a suspicion, since the platform's list
// has them.
func compact(update Update) Update {
	if update.State == Suspected {
		update.Zone, update.Address = "", ""
	}
	return update
}

// Members returns this VM and all others in the view, ordered by name.
func (v *View) Members(now time.Time) []Member {
	var members []Member
	if v.self.State != Left {
		members = append(members, v.self.member())
	}
	now = v.lastActiveTime(now)
	for _, r := range v.byName {
		if r.inView(now) && r.update.Address != "" {
			members = append(members, r.update.member())
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// lastActiveTime returns now, or the time of the last round if this VM was paused
// since, so that the pause does not make its peers time out.
func (v *View) lastActiveTime(now time.Time) time.Time {
	if now.Sub(v.lastRound) >= pauseThreshold {
		return v.lastRound
	}
	return now
}

// inView reports whether the VM is in the view: it is running, this VM can reach
// it, and no call to it failed within avoidDuration.
func (r *record) inView(now time.Time) bool {
	reachable := r.missedAt.IsZero() || now.Sub(r.missedAt) < SuspicionTimeout
	return r.running(now) && reachable && !now.Before(r.avoidUntil)
}

// running reports whether the VM has not left and has not been suspected for
// SuspicionTimeout.
func (r *record) running(now time.Time) bool {
	if r.update.State == Left {
		return false
	}
	return r.update.State == Alive || now.Sub(r.suspectedAt) < SuspicionTimeout
}

// LastQuorumContact returns the latest time at which a majority of peers was known to answer
// this VM, or the zero time if there was none. If no other VM is running or listed,
// no answer is needed once the platform's list was received.
func (v *View) LastQuorumContact() time.Time { return v.exchangeHistory.quorumAt }

func (v *View) updateQuorumContact(now time.Time) {
	known, live := 1, 1
	for _, r := range v.byName {
		running := r.running(now)
		if running {
			live++
		}
		if running || r.listed {
			known++
		}
	}
	if known == 1 {
		if v.listed {
			v.exchangeHistory.quorumAt = now
		}
		return
	}
	if v.exchangeHistory.majorityAnswered(now) && 2*live > known {
		if quorumAt := now.Add(-exchangeWindow); quorumAt.After(v.exchangeHistory.quorumAt) {
			v.exchangeHistory.quorumAt = quorumAt
		}
	}
}

// IncarnationEnded reports whether the given incarnation of a VM's agent is known
// to have ended: the VM has restarted or announced that it stops, or it is not
// running and has been missing from the platform's list for at least minAbsence. It
// returns false for an unknown VM.
func (v *View) IncarnationEnded(now time.Time, name string, incarnation uint64, minAbsence time.Duration) bool {
	r := v.records[name]
	if name == v.self.Name {
		return incarnation < v.self.Incarnation
	}
	if r == nil {
		return false // unknown VM
	}
	if r.update.Incarnation > incarnation || (r.update.Incarnation == incarnation && r.update.State == Left) {
		return true
	}
	return !r.running(now) && !r.absentSince.IsZero() && now.Sub(r.absentSince) >= minAbsence
}

// removeStaleRecords deletes the records of VMs that are neither running nor listed
// and whose state has not changed for removeAfter.
func (v *View) removeStaleRecords(now time.Time) {
	v.byName = slices.DeleteFunc(v.byName, func(r *record) bool {
		old := v.listed && !r.listed && !r.running(now) && now.Sub(r.changedAt) > removeAfter
		if old {
			delete(v.records, r.update.Name)
		}
		return old
	})
}

func (v *View) record(now time.Time, name string) *record {
	r := v.records[name]
	if r != nil {
		return r
	}
	r = &record{update: Update{Name: name}, changedAt: now}
	v.records[name] = r
	at, _ := slices.BinarySearchFunc(v.byName, name, func(r *record, name string) int { return strings.Compare(r.update.Name, name) })
	v.byName = slices.Insert(v.byName, at, r)
	return r
}

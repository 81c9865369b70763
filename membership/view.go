package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	forgetAfter    = time.Minute     // for a VM that is out of the view and not on the list
	avoidTime      = 2 * time.Second // after a call to a VM failed
	pauseThreshold = 3 * Period      // a longer gap between rounds means that this VM was paused
	resendFactor   = 1               // an update is sent resendFactor * log2(members) times
	syncRounds     = 2               // rounds in which a VM that has just started asks for suspicions
)

// View is what one VM knows of the others. It is not safe for concurrent use.
type View struct {
	self      Update
	random    *rand.Rand
	records   map[string]*record
	order     []*record // by name, so that equal inputs give equal decisions
	seeds     []*record // addresses of agents whose names are not known
	listed    bool      // the platform's list was seen at least once
	lastRound time.Time
	rounds    int
	selfSends int
	contact   contact
}

// record is what is known of one other VM.
type record struct {
	update        Update
	listed        bool
	listedLeaving bool
	absentSince   time.Time // since when the list has lacked the VM; zero if it has not
	suspectedAt   time.Time
	missedAt      time.Time // first exchange with this VM that was missed since the last answered one
	changedAt     time.Time
	avoidUntil    time.Time
	sends         int // how often the newest update was sent
}

// NewView returns the view of a VM that has just started. self.Incarnation must
// be higher than that of earlier starts; the wall clock will do, and a view that
// hears of a higher one raises its own.
func NewView(self Member, seed uint64) *View {
	return &View{
		self:    Update{Name: self.Name, Zone: self.Zone, Address: self.Address, Incarnation: self.Incarnation},
		random:  rand.New(rand.NewPCG(seed, seed)),
		records: map[string]*record{},
	}
}

// Self returns this VM as others are told of it.
func (v *View) Self() Member { return v.self.member() }

// SetList takes over the platform's list.
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
	for _, r := range v.order {
		if !present[r.update.Name] && (r.listed || r.absentSince.IsZero()) {
			r.listed, r.absentSince = false, now
		}
	}
}

// AddSeeds names addresses of agents to ask while few VMs are known, for a start
// without the platform's list.
func (v *View) AddSeeds(addresses []string) {
	for _, address := range addresses {
		if address != v.self.Address {
			v.seeds = append(v.seeds, &record{update: Update{Address: address}})
		}
	}
}

// Leave marks this VM as leaving; with stopped, as gone.
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

// Round returns the exchanges to perform now. It is to be called each Period.
func (v *View) Round(now time.Time) []Probe {
	v.skipPause(now)
	v.lastRound = now
	v.rounds++
	v.forget(now)
	var probes []Probe
	for _, r := range v.targets(now) {
		v.contact.begin(now)
		probes = append(probes, Probe{To: r.update.member(), Message: v.message(r, MaxUpdates), sent: now})
	}
	v.proveContact(now)
	return probes
}

// skipPause keeps the time that this VM was paused from counting against its peers.
func (v *View) skipPause(now time.Time) {
	gap := now.Sub(v.lastRound)
	if v.lastRound.IsZero() || gap < pauseThreshold {
		return
	}
	v.contact.attempts = nil
	for _, r := range v.order {
		r.suspectedAt = r.suspectedAt.Add(gap)
		if !r.missedAt.IsZero() {
			r.missedAt = r.missedAt.Add(gap)
		}
	}
}

// targets chooses peers at random: one that missed its last exchange, if any, one of
// all that are known, so that healed partitions are noticed, and the rest among those
// in the view.
func (v *View) targets(now time.Time) []*record {
	var live, missed, callable []*record
	for _, r := range v.order {
		if r.update.Address == "" || r.update.State == Left {
			continue
		}
		callable = append(callable, r)
		if !r.running(now) {
			continue
		}
		live = append(live, r)
		if !r.missedAt.IsZero() {
			missed = append(missed, r)
		}
	}
	var chosen []*record
	chosen = v.choose(chosen, missed, 1)
	chosen = v.choose(chosen, live, Targets-1)
	chosen = v.choose(chosen, callable, Targets)
	return v.choose(chosen, v.seeds, min(Targets, len(chosen)+Targets-len(callable)))
}

// choose adds random records to chosen until there are want or no more.
func (v *View) choose(chosen, from []*record, want int) []*record {
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

// Receive takes in a peer's message and returns the answer to it.
func (v *View) Receive(now time.Time, message Message) Message {
	v.take(now, message)
	limit := MaxUpdates
	if message.Sync {
		limit = maxSyncUpdates
	}
	from := v.records[message.From.Name]
	answer := v.message(from, limit)
	if from != nil && from.update.State == Alive && from.update.overrules(message.From) {
		answer.Updates = append(answer.Updates, from.update) // its clock was set back
	}
	return answer
}

// Answered takes in the answer to an exchange.
func (v *View) Answered(now time.Time, probe Probe, answer Message) {
	v.contact.end(probe.sent, true)
	v.take(now, answer)
	if r := v.records[answer.From.Name]; r != nil {
		r.missedAt = time.Time{}
	}
	v.proveContact(now)
}

// Missed says that an exchange got no answer in ExchangeTimeout.
func (v *View) Missed(now time.Time, probe Probe) {
	v.contact.end(probe.sent, false)
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
		r.avoidUntil = now.Add(avoidTime)
	}
}

func (v *View) take(now time.Time, message Message) {
	v.apply(now, message.From)
	for _, update := range message.Updates {
		v.apply(now, update)
	}
}

func (v *View) apply(now time.Time, update Update) {
	if update.Name == v.self.Name {
		v.refute(update)
		return
	}
	r := v.record(now, update.Name)
	known := r.update
	if update.Incarnation == known.Incarnation && update.Leaving && !known.Leaving {
		r.update.Leaving, r.sends = true, 0
	}
	if !update.overrules(known) {
		return
	}
	if r.listed || update.Address == "" { // the list is right about addresses
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

// refute denies a statement about this VM that would make others count it out.
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

// message composes a message to a peer. What is held against the peer comes
// first, so that it can deny it; then the updates that were sent least often.
func (v *View) message(to *record, limit int) Message {
	message := Message{From: v.self, Sync: v.rounds <= syncRounds}
	if to != nil && to.update.State != Alive {
		message.Updates = append(message.Updates, brief(to.update))
	}
	if !v.trusted() {
		return message
	}
	for _, r := range v.pending(to, limit) {
		if len(message.Updates) >= limit {
			break
		}
		r.sends++
		message.Updates = append(message.Updates, brief(r.update))
	}
	return message
}

// trusted reports whether this VM's suspicions are worth passing on: a VM that
// hears from few peers is more likely cut off itself.
func (v *View) trusted() bool { return v.contact.mostAnswered(v.lastRound) }

func (v *View) pending(to *record, limit int) []*record {
	resend := resendFactor * bits.Len(uint(len(v.order)))
	var pending []*record
	for _, r := range v.order {
		due := r.sends < resend || (limit > MaxUpdates && r.update.State != Alive)
		if due && r != to && r.update.Incarnation > 0 {
			pending = append(pending, r)
		}
	}
	slices.SortStableFunc(pending, func(a, b *record) int { return a.sends - b.sends })
	return pending
}

// brief leaves out of a suspicion what the list tells anyhow.
func brief(update Update) Update {
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
	now = v.beforePause(now)
	for _, r := range v.order {
		if r.in(now) && r.update.Address != "" {
			members = append(members, r.update.member())
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// beforePause returns the time up to which this VM took part in exchanges; a VM
// that was paused must not hold the pause against its peers.
func (v *View) beforePause(now time.Time) time.Time {
	if now.Sub(v.lastRound) >= pauseThreshold {
		return v.lastRound
	}
	return now
}

// in reports whether the VM is in the view: it runs, and this VM can reach it.
func (r *record) in(now time.Time) bool {
	reachable := r.missedAt.IsZero() || now.Sub(r.missedAt) < SuspicionTimeout
	return r.running(now) && reachable && !now.Before(r.avoidUntil)
}

// running reports whether the VM runs as far as anyone knows.
func (r *record) running(now time.Time) bool {
	if r.update.State == Left {
		return false
	}
	return r.update.State == Alive || now.Sub(r.suspectedAt) < SuspicionTimeout
}

// Contact returns the latest instant at which most peers were known to answer
// this VM; the zero time if there was none. A fleet of one needs no answer.
func (v *View) Contact() time.Time { return v.contact.proved }

func (v *View) proveContact(now time.Time) {
	known, live := 1, 1
	for _, r := range v.order {
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
			v.contact.proved = now
		}
		return
	}
	if v.contact.mostAnswered(now) && 2*live > known {
		if proved := now.Add(-contactWindow); proved.After(v.contact.proved) {
			v.contact.proved = proved
		}
	}
}

// Gone reports whether the given start of a VM's agent is known to be over: the
// VM has started again, has said that it stops, or the list has lacked it for
// bound while nobody could reach it.
func (v *View) Gone(now time.Time, name string, incarnation uint64, bound time.Duration) bool {
	r := v.records[name]
	if name == v.self.Name {
		return incarnation < v.self.Incarnation
	}
	if r == nil {
		return false // nothing is known of it
	}
	if r.update.Incarnation > incarnation || (r.update.Incarnation == incarnation && r.update.State == Left) {
		return true
	}
	return !r.running(now) && !r.absentSince.IsZero() && now.Sub(r.absentSince) >= bound
}

// forget drops VMs that are out of the view and not on the list.
func (v *View) forget(now time.Time) {
	v.order = slices.DeleteFunc(v.order, func(r *record) bool {
		old := v.listed && !r.listed && !r.running(now) && now.Sub(r.changedAt) > forgetAfter
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
	at, _ := slices.BinarySearchFunc(v.order, name, func(r *record, name string) int { return strings.Compare(r.update.Name, name) })
	v.order = slices.Insert(v.order, at, r)
	return r
}

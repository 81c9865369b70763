package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	requestTimeout = 15 * time.Second
	idleConns      = 1024
)

// Run performs the experiment and returns its report.
func Run(ctx context.Context, settings Settings) *Report {
	sender := newSender(settings)
	var running sync.WaitGroup
	for i := range settings.Mixes {
		mix := &settings.Mixes[i]
		if mix.Workers > 0 {
			running.Go(func() { sender.sendClosed(ctx, i) })
			continue
		}
		running.Go(func() { sender.sendOpen(ctx, i, through) })
		if len(settings.Direct) > 0 {
			running.Go(func() { sender.sendOpen(ctx, i, direct) })
		}
	}
	running.Wait()
	sender.report.Seconds = time.Since(sender.start).Seconds()
	sender.report.finish(settings)
	return sender.report
}

// way is how a request gets to a backend server.
type way int

const (
	through way = iota // through the fleet
	direct             // to the backend server itself
	ways
)

type sender struct {
	settings Settings
	client   *http.Client
	report   *Report
	start    time.Time
}

func newSender(settings Settings) *sender {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns, MaxIdleConns: 0, DisableCompression: true}
	return &sender{
		settings: settings,
		client:   &http.Client{Transport: transport, Timeout: requestTimeout},
		report:   newReport(settings),
		start:    time.Now(),
	}
}

// address returns where the next request goes.
func (s *sender) address(by way, random *rand.Rand) string {
	addresses := s.settings.Entries
	if by == direct {
		addresses = s.settings.Direct
	}
	return addresses[random.IntN(len(addresses))]
}

func (s *sender) random(stream int) *rand.Rand {
	return rand.New(rand.NewPCG(s.settings.Seed, uint64(stream)))
}

// sendOpen sends with exponentially distributed gaps, whatever the answers do.
func (s *sender) sendOpen(ctx context.Context, index int, by way) {
	var running sync.WaitGroup
	defer running.Wait()
	mix := &s.settings.Mixes[index]
	random := s.random(index*int(ways) + int(by))
	offset := time.Duration(0)
	for {
		offset += time.Duration(random.ExpFloat64() / mix.Rate * float64(time.Second))
		after, planned := offset, s.start.Add(offset)
		if offset > s.settings.Duration.Std() || !sleepUntil(ctx, planned) {
			return
		}
		call := newCall(mix, s.address(by, random), random)
		twice := by == through && mix.Protected && random.Float64() < mix.Duplicate
		second := s.address(by, random)
		running.Go(func() {
			end := s.perform(ctx, call)
			s.report.add(index, by, sample{planned: after, took: time.Since(planned), end: end})
			if twice {
				s.report.addDuplicate(s.perform(ctx, call.through(second)))
			}
		})
	}
}

// turnLength is how long a closed loop goes one way before it goes the other.
const turnLength = 500 * time.Millisecond

// sendClosed runs the workers of a closed loop until the experiment ends.
func (s *sender) sendClosed(ctx context.Context, index int) {
	var workers sync.WaitGroup
	defer workers.Wait()
	mix := &s.settings.Mixes[index]
	for worker := range mix.Workers {
		random := s.random(len(s.settings.Mixes)*int(ways) + index*idleConns + worker)
		workers.Go(func() {
			for started := time.Now(); s.sending(ctx, started); started = time.Now() {
				by := s.turn(started)
				end := s.perform(ctx, newCall(mix, s.address(by, random), random))
				s.report.add(index, by, sample{planned: started.Sub(s.start), took: time.Since(started), end: end})
			}
		})
	}
}

func (s *sender) sending(ctx context.Context, now time.Time) bool {
	return now.Sub(s.start) < s.settings.Duration.Std() && ctx.Err() == nil
}

// turn says which way the closed loops go now: first direct, then through, and so on.
func (s *sender) turn(now time.Time) way {
	if len(s.settings.Direct) == 0 || int(now.Sub(s.start)/turnLength)%int(ways) != 0 {
		return through
	}
	return direct
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

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
	maxWorkers     = 1024 // of one mix, see Mix.Workers; also the limit of idle connections to one address
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

// target is what requests are sent to.
type target int

const (
	through target = iota // to an entry of the fleet
	direct                // to a backend server, without the fleet
	targetCount
)

// sender sends the requests of an experiment and records their results.
type sender struct {
	settings Settings
	client   *http.Client
	report   *Report
	start    time.Time
}

func newSender(settings Settings) *sender {
	transport := &http.Transport{MaxIdleConnsPerHost: maxWorkers, MaxIdleConns: 0, DisableCompression: true}
	return &sender{
		settings: settings,
		client:   &http.Client{Transport: transport, Timeout: requestTimeout},
		report:   newReport(settings),
		start:    time.Now(),
	}
}

// address returns a random address of the target.
func (s *sender) address(to target, random *rand.Rand) string {
	addresses := s.settings.Entries
	if to == direct {
		addresses = s.settings.Direct
	}
	return addresses[random.IntN(len(addresses))]
}

// random returns the random number generator of one loop or worker, seeded with
// Settings.Seed and the stream's number.
func (s *sender) random(stream int) *rand.Rand {
	return rand.New(rand.NewPCG(s.settings.Seed, uint64(stream)))
}

// sendOpen sends a mix as an open loop, with exponentially distributed intervals that
// don't depend on the responses.
func (s *sender) sendOpen(ctx context.Context, index int, to target) {
	var running sync.WaitGroup
	defer running.Wait()
	mix := &s.settings.Mixes[index]
	random := s.random(index*int(targetCount) + int(to))
	offset := time.Duration(0)
	for {
		offset += time.Duration(random.ExpFloat64() / mix.Rate * float64(time.Second))
		sinceStart, planned := offset, s.start.Add(offset)
		if offset > s.settings.Duration.Std() || !sleepUntil(ctx, planned) {
			return
		}
		call := newCall(mix, s.address(to, random), random)
		duplicate := to == through && mix.Protected && random.Float64() < mix.Duplicate
		duplicateAddress := s.address(to, random)
		running.Go(func() {
			result := s.send(ctx, call)
			s.report.add(index, to, sample{planned: sinceStart, latency: time.Since(planned), result: result})
			if duplicate {
				s.report.addDuplicate(s.send(ctx, call.through(duplicateAddress)))
			}
		})
	}
}

// turnDuration is how long a closed loop sends to one target before it switches to the
// other.
const turnDuration = 500 * time.Millisecond

// sendClosed runs the workers of a closed loop until the experiment ends.
func (s *sender) sendClosed(ctx context.Context, index int) {
	var workers sync.WaitGroup
	defer workers.Wait()
	mix := &s.settings.Mixes[index]
	for worker := range mix.Workers {
		random := s.random(len(s.settings.Mixes)*int(targetCount) + index*maxWorkers + worker)
		workers.Go(func() {
			for started := time.Now(); s.isRunning(ctx, started); started = time.Now() {
				to := s.currentTarget(started)
				result := s.send(ctx, newCall(mix, s.address(to, random), random))
				s.report.add(index, to, sample{planned: started.Sub(s.start), latency: time.Since(started), result: result})
			}
		})
	}
}

// isRunning reports whether the experiment has not ended at this time.
func (s *sender) isRunning(ctx context.Context, now time.Time) bool {
	return now.Sub(s.start) < s.settings.Duration.Std() && ctx.Err() == nil
}

// currentTarget returns the target of the closed loops at this time. With
// Settings.Direct it alternates, beginning with direct.
func (s *sender) currentTarget(now time.Time) target {
	if len(s.settings.Direct) == 0 || int(now.Sub(s.start)/turnDuration)%int(targetCount) != 0 {
		return through
	}
	return direct
}

// sleepUntil sleeps until the time and returns true, or returns false when ctx ends.
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

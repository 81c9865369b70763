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
	idleConns      = 256
)

// Run performs the experiment and returns its report.
func Run(ctx context.Context, settings Settings) *Report {
	sender := newSender(settings)
	var running sync.WaitGroup
	start := time.Now()
	for i := range settings.Mixes {
		arrivals := rand.New(rand.NewPCG(settings.Seed, uint64(i)))
		running.Go(func() { sender.sendMix(ctx, &settings.Mixes[i], arrivals, start) })
	}
	if settings.Direct != "" {
		running.Go(func() { sender.sendDirect(ctx, start) })
	}
	running.Wait()
	sender.report.Seconds = time.Since(start).Seconds()
	return sender.report
}

type sender struct {
	settings Settings
	client   *http.Client
	report   *Report
}

func newSender(settings Settings) *sender {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns, MaxIdleConns: 0, DisableCompression: true}
	return &sender{
		settings: settings,
		client:   &http.Client{Transport: transport, Timeout: requestTimeout},
		report:   newReport(settings),
	}
}

// sendMix sends with exponentially distributed gaps, whatever the answers do.
func (s *sender) sendMix(ctx context.Context, mix *Mix, arrivals *rand.Rand, start time.Time) {
	var running sync.WaitGroup
	defer running.Wait()
	offset := time.Duration(0)
	for {
		offset += time.Duration(arrivals.ExpFloat64() / mix.Rate * float64(time.Second))
		if offset > s.settings.Duration.Std() || !sleepUntil(ctx, start.Add(offset)) {
			return
		}
		entry := s.settings.Entries[arrivals.IntN(len(s.settings.Entries))]
		call := newCall(mix, entry, arrivals)
		twice := mix.Protected && arrivals.Float64() < mix.Duplicate
		second := s.settings.Entries[arrivals.IntN(len(s.settings.Entries))]
		planned := start.Add(offset)
		running.Go(func() {
			s.report.add(mix, s.perform(ctx, call), time.Since(planned))
			if twice {
				s.report.addDuplicate(s.perform(ctx, call.through(second)))
			}
		})
	}
}

// sendDirect calls the backend server stand-in without the fleet, for comparison.
func (s *sender) sendDirect(ctx context.Context, start time.Time) {
	mix := &Mix{Method: http.MethodGet, Path: "/direct", Size: s.settings.Mixes[0].Size}
	arrivals := rand.New(rand.NewPCG(s.settings.Seed, uint64(len(s.settings.Mixes))))
	for time.Since(start) < s.settings.Duration.Std() && ctx.Err() == nil {
		planned := time.Now()
		result := s.perform(ctx, newCall(mix, s.settings.Direct, arrivals))
		s.report.addDirect(result, time.Since(planned))
		time.Sleep(directPause)
	}
}

const directPause = 5 * time.Millisecond

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

package placement

import "time"

const (
	floorWindow   = 2 * time.Second         // over which the operators count servers in use
	floorParts    = 10                      // of the window
	floorTrouble  = 0.10                    // part of the requests that is not served, from which on all sound servers are used; the operators say 0.1
	floorIdle     = 1700 * time.Millisecond // a server that got nothing for so long is not in use much longer
	floorMargin   = 0.22                    // beyond the part that has to be in use: some of the servers do not count
	troubleMargin = 0.26                    // the same, while many requests are not served
	safeEnough    = 0.1                     // part of the requests that are safe, from which on only these try idle servers
)

// floor keeps a part of the servers in use, so that wrong beliefs cannot take
// capacity away, and all that are not known to fail while many requests are not served.
type floor struct {
	share                  float64 // of the servers that has to be in use
	asked, unserved, safes [floorParts]int
	part                   int64
}

func (f *floor) advance(now time.Time) int {
	part := now.UnixNano() / int64(floorWindow/floorParts)
	for steps := min(part-f.part, floorParts); steps > 0; steps-- {
		slot := (part - steps + 1) % floorParts
		f.asked[slot], f.unserved[slot], f.safes[slot] = 0, 0, 0
	}
	f.part = max(f.part, part)
	return int(f.part % floorParts)
}

func (f *floor) request(now time.Time, safe bool) {
	slot := f.advance(now)
	f.asked[slot]++
	if safe {
		f.safes[slot]++
	}
}

func (f *floor) notServed(now time.Time) { f.unserved[f.advance(now)]++ }

// wanted is the part of the servers that has to be in use now. safeOnly says that
// there are safe requests enough to see to it.
func (f *floor) wanted(now time.Time) (wanted float64, safeOnly bool) {
	f.advance(now)
	asked, unserved, safes := 0, 0, 0
	for i := range f.asked {
		asked += f.asked[i]
		unserved += f.unserved[i]
		safes += f.safes[i]
	}
	wanted = min(1, f.share+floorMargin)
	if float64(unserved) > floorTrouble*float64(asked) {
		wanted = min(1, f.share+troubleMargin)
	}
	return wanted, float64(safes) > safeEnough*float64(asked)
}

package entry

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// refusalClass tells refusals apart in the metrics.
type refusalClass struct {
	stage   string
	reason  Reason
	outcome Outcome
}

// refusalCounters keeps the counter of each class, because a flood of refusals
// must cost little.
type refusalCounters struct {
	known sync.Map // refusalClass to *metrics.Counter
}

func (r *refusalCounters) of(class refusalClass) *metrics.Counter {
	if counter, ok := r.known.Load(class); ok {
		return counter.(*metrics.Counter)
	}
	name := fmt.Sprintf(`lacewing_refusals_total{stage=%q,reason=%q,outcome=%q}`, class.stage, class.reason, class.outcome)
	counter, _ := r.known.LoadOrStore(class, metrics.GetOrCreateCounter(name))
	return counter.(*metrics.Counter)
}

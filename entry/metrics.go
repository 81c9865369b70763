package entry

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// refusalClass is the set of labels of the refusal counter.
type refusalClass struct {
	stage   string
	reason  Reason
	outcome Outcome
}

// refusalCounters caches the counter of each class, so that a refusal is cheap even when
// very many requests are refused.
type refusalCounters struct {
	counters sync.Map // refusalClass to *metrics.Counter
}

func (r *refusalCounters) get(class refusalClass) *metrics.Counter {
	if counter, ok := r.counters.Load(class); ok {
		return counter.(*metrics.Counter)
	}
	name := fmt.Sprintf(`lacewing_refusals_total{stage=%q,reason=%q,outcome=%q}`, class.stage, class.reason, class.outcome)
	counter, _ := r.counters.LoadOrStore(class, metrics.GetOrCreateCounter(name))
	return counter.(*metrics.Counter)
}

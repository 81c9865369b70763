package load

import (
	"cmp"
	"slices"
	"time"

	"lacewingmount.dev/entry"
	"lacewingmount.dev/limit"
)

// AccountReport compares what a client account got with what it was entitled to:
// the requests that one bucket of its rate and burst would have admitted, given
// the same arrivals.
type AccountReport struct {
	Name              string  `json:"name"`
	Sent              int     `json:"sent"`
	Entitled          int     `json:"entitled"`
	Admitted          int     `json:"admitted"` // not refused for rate
	Served            int     `json:"served"`   // whole answers
	Share             float64 `json:"share"`    // Served over Entitled
	RefusedWithinRate int     `json:"refused_within_rate"`
}

// accountReports returns the entitled accounts, worst served first.
func accountReports(settings Settings, samples [][ways][]sample) []AccountReport {
	var reports []AccountReport
	for _, account := range settings.Accounts {
		var taken []sample
		for i := range settings.Mixes {
			if settings.Mixes[i].Account == account.Name {
				taken = append(taken, samples[i][through]...)
			}
		}
		if len(taken) > 0 {
			reports = append(reports, newAccountReport(account, taken))
		}
	}
	slices.SortStableFunc(reports, func(a, b AccountReport) int { return cmp.Compare(a.Share, b.Share) })
	return reports
}

func newAccountReport(account Account, taken []sample) AccountReport {
	slices.SortStableFunc(taken, func(a, b sample) int { return cmp.Compare(a.planned, b.planned) })
	start := time.Unix(0, 0)
	bucket := limit.NewBucket(account.Rate, account.Burst, start)
	report := AccountReport{Name: account.Name, Sent: len(taken)}
	for _, one := range taken {
		if ok, _ := bucket.Take(start.Add(one.planned)); ok {
			report.Entitled++
		}
		if one.end.detail != string(entry.ReasonRate) {
			report.Admitted++
		}
		if one.end.verdict == verdictWhole {
			report.Served++
		}
	}
	report.Share = float64(report.Served) / float64(report.Entitled)
	report.RefusedWithinRate = max(0, report.Entitled-report.Admitted)
	return report
}

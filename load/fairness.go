package load

import (
	"cmp"
	"slices"
	"time"

	"lacewingmount.dev/entry"
	"lacewingmount.dev/limit"
)

// AccountReport compares the requests of a client account that were served with those
// that it was entitled to. These are the requests that a single token bucket with its
// rate and burst would have admitted, given the same arrivals.
type AccountReport struct {
	Name              string  `json:"name"`
	Sent              int     `json:"sent"`
	Entitled          int     `json:"entitled"`
	Admitted          int     `json:"admitted"`            // not refused with reason entry.ReasonRate
	Served            int     `json:"served"`              // requests with a complete response
	Share             float64 `json:"share"`               // Served divided by Entitled
	RefusedWithinRate int     `json:"refused_within_rate"` // Entitled minus Admitted, at least 0
}

// accountReports returns the reports of settings.Accounts that sent requests, by
// ascending Share.
func accountReports(settings Settings, samples [][targetCount][]sample) []AccountReport {
	var reports []AccountReport
	for _, account := range settings.Accounts {
		var accountSamples []sample
		for i := range settings.Mixes {
			if settings.Mixes[i].Account == account.Name {
				accountSamples = append(accountSamples, samples[i][through]...)
			}
		}
		if len(accountSamples) > 0 {
			reports = append(reports, newAccountReport(account, accountSamples))
		}
	}
	slices.SortStableFunc(reports, func(a, b AccountReport) int { return cmp.Compare(a.Share, b.Share) })
	return reports
}

func newAccountReport(account Account, samples []sample) AccountReport {
	slices.SortStableFunc(samples, func(a, b sample) int { return cmp.Compare(a.planned, b.planned) })
	start := time.Unix(0, 0)
	bucket := limit.NewBucket(account.Rate, account.Burst, start)
	report := AccountReport{Name: account.Name, Sent: len(samples)}
	for _, s := range samples {
		if ok, _ := bucket.Take(start.Add(s.planned)); ok {
			report.Entitled++
		}
		if s.result.detail != string(entry.ReasonRate) {
			report.Admitted++
		}
		if s.result.verdict == verdictWhole {
			report.Served++
		}
	}
	report.Share = float64(report.Served) / float64(report.Entitled)
	report.RefusedWithinRate = max(0, report.Entitled-report.Admitted)
	return report
}

package requestlog

import (
	"strconv"
	"strings"
	"time"

	"lacewingmount.dev/errs"
)

// Attempt is one attempt to run a request at a server. Durations are logged in whole
// milliseconds.
type Attempt struct {
	Server           string        // server's name
	Outcome          string        // name of a placement.Outcome
	Took             time.Duration // duration of the attempt
	Failing          float64       // probability that the server was failing, as estimated at the grant
	Queued           time.Duration // time in the service's queue
	Owner            string        // VM that granted the slot; the request's own VM if LocalGrant is set
	LocalGrant       bool          // granted by the request's own VM, because the service's owner did not answer
	ReusedConnection bool          // sent on a connection that was used before
	Limit            float64       // requests per second that the server accepted from all VMs together; 0 if it had named no limit
}

const (
	failingField         = "failing="
	queuedField          = "queued="
	grantedByField       = "home="
	localGrantFlag       = "alone"
	reusedConnectionFlag = "reused"
	limitField           = "limit="
)

// FormatAttempts formats attempts for a log line, separated by blanks, each as
// server:outcome:took:failing:queued:home, then alone, reused and limit if they apply.
func FormatAttempts(attempts []Attempt) string {
	var text strings.Builder
	for i, a := range attempts {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(a.Server + ":" + a.Outcome + ":" + formatMilliseconds(a.Took) + ":" +
			failingField + strconv.FormatFloat(a.Failing, 'f', 2, 64) + ":" + queuedField + formatMilliseconds(a.Queued) + ":" + grantedByField + a.Owner)
		if a.LocalGrant {
			text.WriteString(":" + localGrantFlag)
		}
		if a.ReusedConnection {
			text.WriteString(":" + reusedConnectionFlag)
		}
		if a.Limit > 0 {
			text.WriteString(":" + limitField + strconv.FormatFloat(a.Limit, 'f', -1, 64))
		}
	}
	return text.String()
}

func formatMilliseconds(duration time.Duration) string {
	return strconv.FormatInt(duration.Milliseconds(), 10) + "ms"
}

// ParseAttempts parses the output of FormatAttempts. It fails with kind Invalid if the text
// has another format.
func ParseAttempts(text string) ([]Attempt, error) {
	var attempts []Attempt
	for _, part := range strings.Fields(text) {
		attempt, ok := parseAttempt(part)
		if !ok {
			return nil, errs.New(errs.Invalid, "attempt "+strconv.Quote(part)+" of a request line cannot be parsed", "use the lacewingctl of the gateway's version")
		}
		attempts = append(attempts, attempt)
	}
	return attempts, nil
}

func parseAttempt(text string) (Attempt, bool) {
	parts := strings.Split(text, ":")
	if len(parts) < 6 {
		return Attempt{}, false
	}
	attempt := Attempt{Server: parts[0], Outcome: parts[1]}
	var errTook, errFailing, errQueued error
	attempt.Took, errTook = time.ParseDuration(parts[2])
	attempt.Failing, errFailing = strconv.ParseFloat(strings.TrimPrefix(parts[3], failingField), 64)
	attempt.Queued, errQueued = time.ParseDuration(strings.TrimPrefix(parts[4], queuedField))
	grantedBy, named := strings.CutPrefix(parts[5], grantedByField)
	attempt.Owner = grantedBy
	var errLimit error
	for _, flag := range parts[6:] {
		if limit, ok := strings.CutPrefix(flag, limitField); ok {
			attempt.Limit, errLimit = strconv.ParseFloat(limit, 64)
		}
		attempt.LocalGrant = attempt.LocalGrant || flag == localGrantFlag
		attempt.ReusedConnection = attempt.ReusedConnection || flag == reusedConnectionFlag
	}
	return attempt, errTook == nil && errFailing == nil && errQueued == nil && errLimit == nil && named
}

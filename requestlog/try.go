package requestlog

import (
	"strconv"
	"strings"
	"time"

	"lacewingmount.dev/errs"
)

// Try is one attempt to run a request at a server. Durations are logged in whole
// milliseconds.
type Try struct {
	Server  string        // server's name
	Outcome string        // name of a placement.Outcome
	Took    time.Duration // duration of the attempt
	Failing float64       // probability that the server was failing, as estimated at the grant
	Queued  time.Duration // time in the service's queue
	Home    string        // VM that granted the slot
	Alone   bool          // granted by the request's own VM, because the service's owner did not answer
	Reused  bool          // sent on a connection that was used before
}

const (
	failingField = "failing="
	queuedField  = "queued="
	ownerField   = "home="
	localFlag    = "alone"
	reusedFlag   = "reused"
)

// FormatTries formats attempts for a log line, separated by blanks, each as
// server:outcome:took:failing:queued:home, then alone and reused if they apply.
func FormatTries(tries []Try) string {
	var text strings.Builder
	for i, t := range tries {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(t.Server + ":" + t.Outcome + ":" + formatMilliseconds(t.Took) + ":" +
			failingField + strconv.FormatFloat(t.Failing, 'f', 2, 64) + ":" + queuedField + formatMilliseconds(t.Queued) + ":" + ownerField + t.Home)
		if t.Alone {
			text.WriteString(":" + localFlag)
		}
		if t.Reused {
			text.WriteString(":" + reusedFlag)
		}
	}
	return text.String()
}

func formatMilliseconds(duration time.Duration) string {
	return strconv.FormatInt(duration.Milliseconds(), 10) + "ms"
}

// ParseTries parses the output of FormatTries. It fails with kind Invalid if the text
// has another format.
func ParseTries(text string) ([]Try, error) {
	var tries []Try
	for _, part := range strings.Fields(text) {
		t, ok := parseAttempt(part)
		if !ok {
			return nil, errs.New(errs.Invalid, "attempt "+strconv.Quote(part)+" of a request line cannot be parsed", "use the lacewingctl of the gateway's version")
		}
		tries = append(tries, t)
	}
	return tries, nil
}

func parseAttempt(text string) (Try, bool) {
	parts := strings.Split(text, ":")
	if len(parts) < 6 {
		return Try{}, false
	}
	t := Try{Server: parts[0], Outcome: parts[1]}
	var errTook, errFailing, errQueued error
	t.Took, errTook = time.ParseDuration(parts[2])
	t.Failing, errFailing = strconv.ParseFloat(strings.TrimPrefix(parts[3], failingField), 64)
	t.Queued, errQueued = time.ParseDuration(strings.TrimPrefix(parts[4], queuedField))
	home, named := strings.CutPrefix(parts[5], ownerField)
	t.Home = home
	for _, mark := range parts[6:] {
		t.Alone = t.Alone || mark == localFlag
		t.Reused = t.Reused || mark == reusedFlag
	}
	return t, errTook == nil && errFailing == nil && errQueued == nil && named
}

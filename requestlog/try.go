package requestlog

import (
	"strconv"
	"strings"
	"time"

	"lacewingmount.dev/errs"
)

// Try is one server that a request was sent to.
type Try struct {
	Server  string
	Outcome string        // as placement.Outcome names it
	Took    time.Duration // whole milliseconds in the log
	Failing float64       // probability that the server was failing, as known at the grant
	Queued  time.Duration // in the home's queue; whole milliseconds in the log
	Home    string        // VM that granted the slot
	Alone   bool          // granted by the request's VM on its own view
	Reused  bool          // sent on a connection that had served before
}

const (
	failingField = "failing="
	queuedField  = "queued="
	homeField    = "home="
	aloneMark    = "alone"
	reusedMark   = "reused"
)

// FormatTries writes server:outcome:took:failing:queued:home for each try.
func FormatTries(tries []Try) string {
	var text strings.Builder
	for i, t := range tries {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(t.Server + ":" + t.Outcome + ":" + milliseconds(t.Took) + ":" +
			failingField + strconv.FormatFloat(t.Failing, 'f', 2, 64) + ":" + queuedField + milliseconds(t.Queued) + ":" + homeField + t.Home)
		if t.Alone {
			text.WriteString(":" + aloneMark)
		}
		if t.Reused {
			text.WriteString(":" + reusedMark)
		}
	}
	return text.String()
}

func milliseconds(span time.Duration) string {
	return strconv.FormatInt(span.Milliseconds(), 10) + "ms"
}

// ParseTries reads what FormatTries wrote.
func ParseTries(text string) ([]Try, error) {
	var tries []Try
	for _, part := range strings.Fields(text) {
		t, ok := parseTry(part)
		if !ok {
			return nil, errs.New(errs.Invalid, "try "+strconv.Quote(part)+" of a request line cannot be read", "use the lacewingctl of the gateway's version")
		}
		tries = append(tries, t)
	}
	return tries, nil
}

func parseTry(text string) (Try, bool) {
	parts := strings.Split(text, ":")
	if len(parts) < 6 {
		return Try{}, false
	}
	t := Try{Server: parts[0], Outcome: parts[1]}
	var errTook, errFailing, errQueued error
	t.Took, errTook = time.ParseDuration(parts[2])
	t.Failing, errFailing = strconv.ParseFloat(strings.TrimPrefix(parts[3], failingField), 64)
	t.Queued, errQueued = time.ParseDuration(strings.TrimPrefix(parts[4], queuedField))
	home, named := strings.CutPrefix(parts[5], homeField)
	t.Home = home
	for _, mark := range parts[6:] {
		t.Alone = t.Alone || mark == aloneMark
		t.Reused = t.Reused || mark == reusedMark
	}
	return t, errTook == nil && errFailing == nil && errQueued == nil && named
}

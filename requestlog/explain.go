package requestlog

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"lacewingmount.dev/errs"
)

const (
	before      = 10 * time.Second // of the request's end, in which a change of belief may have decided it
	after       = 2 * time.Second  // for what its own outcome changed; logs of VMs are some ms apart
	knownFaulty = 0.5              // probability of failing from which on the home knew of the fault; placement waits before it uses such a server
	maxChanges  = 12               // lines of a service's servers that are shown; a large service has many
)

// Explanation tells why a request ended as it did.
type Explanation struct {
	Request Line
	Tries   []Try
	Causes  []string // in the order of events, in words
	Around  []Line   // lines that bear on it, by time
}

// Explain looks for the request in collected lines. The error is NotFound if no
// line has its id.
func Explain(lines []Line, request string) (Explanation, error) {
	at := slices.IndexFunc(lines, func(l Line) bool { return l.Message == RequestMessage && l.Fields["request"] == request })
	if at < 0 {
		return Explanation{}, errs.New(errs.NotFound, "no line has request "+strconv.Quote(request),
			"pass the logs of all VMs; a request served at the first try may be left out by sampling, and one whose VM lost power has no line: "+starts(lines))
	}
	e := Explanation{Request: lines[at]}
	tries, err := ParseTries(e.Request.Fields["tries"])
	if err != nil {
		return Explanation{}, err
	}
	e.Tries = tries
	e.Around = e.around(lines)
	e.Causes = e.causes()
	return e, nil
}

// starts names the VMs that started more than once.
func starts(lines []Line) string {
	count := map[string]int{}
	for _, l := range lines {
		if l.Message == "started" {
			count[l.VM]++
		}
	}
	var again []string
	for vm, n := range count {
		if n > 1 {
			again = append(again, vm)
		}
	}
	if len(again) == 0 {
		return "no VM started twice in these logs"
	}
	slices.Sort(again)
	return "started again: " + strings.Join(again, ", ")
}

// around selects the lines that bear on the request.
func (e *Explanation) around(lines []Line) []Line {
	servers, vms := map[string]bool{}, map[string]bool{e.Request.VM: true}
	for _, t := range e.Tries {
		servers[t.Server] = true
		vms[t.Home] = true
	}
	if home := e.Request.Fields["home"]; home != "" {
		vms[home] = true
	}
	var selected, changes []Line
	var config *Line
	for i := range lines {
		l := &lines[i]
		if l.Message == "configuration in force" && l.VM == e.Request.VM && !l.At.After(e.Request.At) && (config == nil || l.At.After(config.At)) {
			config = l
		}
		if l.At.Before(e.Request.At.Add(-before)) || l.At.After(e.Request.At.Add(after)) || l.Message == RequestMessage {
			continue
		}
		switch {
		case servers[l.Fields["server"]]:
			selected = append(selected, *l)
		case l.Fields["server"] == "" && vms[l.VM] && l.Message != "configuration in force":
			selected = append(selected, *l)
		case l.Fields["service"] == e.Request.Fields["service"] && l.VM == e.Request.Fields["home"]:
			changes = append(changes, *l)
		}
	}
	if config != nil {
		selected = append(selected, *config)
	}
	byTime := func(x, y Line) int { return x.At.Compare(y.At) }
	slices.SortStableFunc(changes, byTime)
	selected = append(selected, changes[max(0, len(changes)-maxChanges):]...)
	slices.SortStableFunc(selected, byTime)
	return selected
}

// causes says in words what each try met and who ended the request.
func (e *Explanation) causes() []string {
	var causes []string
	for i, t := range e.Tries {
		causes = append(causes, "try "+strconv.Itoa(i+1)+": "+t.describe())
	}
	f := e.Request.Fields
	switch status, reason := f["status"], f["reason"]; {
	case reason == "" && len(e.Tries) > 0:
		causes = append(causes, "the caller got the answer of "+e.Tries[len(e.Tries)-1].Server+", status "+status)
	case status == "429":
		causes = append(causes, "refused for the rate of account "+f["account"]+", before any server was asked: "+reason)
	case status == "401", status == "404":
		causes = append(causes, "refused by configuration "+cmp.Or(f["config"], "of unknown version")+" of "+e.Request.VM+": "+reason)
	case f["home"] != "":
		causes = append(causes, "refused by "+f["home"]+" with "+cmp.Or(f["queue"], "0")+" requests waiting, after "+seconds(f["waited"])+" in its queue: "+reason)
	default:
		causes = append(causes, "ended by "+e.Request.VM+" with status "+status+": "+reason)
	}
	if f["age"] != "" {
		causes = append(causes, e.Request.VM+" knew the store as of "+seconds(f["age"])+" earlier")
	}
	return causes
}

func (t *Try) describe() string {
	text := t.Server + " " + t.Outcome + " after " + t.Took.String() + ", granted by " + t.Home
	if t.Alone {
		text += " on its own view, as the home was silent"
	}
	if t.Queued > 0 {
		text += " after " + t.Queued.String() + " in the queue"
	}
	if t.Outcome == "answered" {
		return text
	}
	if t.Failing >= knownFaulty {
		return text + "; the home knew of a fault and had no better server"
	}
	return text + "; nothing was known against the server"
}

// seconds writes a number of seconds for people.
func seconds(text string) string {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return cmp.Or(text, "0s")
	}
	return time.Duration(value * float64(time.Second)).Round(time.Millisecond).String()
}

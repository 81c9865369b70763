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
	contextBefore    = 10 * time.Second // time before the request's end in which a change of a server's state may have decided its outcome
	contextAfter     = 2 * time.Second  // time after it for changes that its own outcome caused; the clocks of VMs differ by some milliseconds
	suspectedFrom    = 0.5              // failure probability from which a server counts as suspected; placement waits before it uses such a server
	maxServerChanges = 12               // maximum number of lines about other servers of the service; a large service has many
)

// Explanation describes why a request ended as it did.
type Explanation struct {
	Request  Line      // the line of the request's end
	Attempts []Attempt // in the order in which they were sent
	Causes   []string  // sentences for people, in the order of events
	Related  []Line    // other lines that may explain the outcome, by time
}

// Explain explains how the request with the given ID ended, from the collected lines of
// all VMs. It fails with kind NotFound if no line has the ID, and Invalid if the
// attempts in the line cannot be parsed.
func Explain(lines []Line, request string) (Explanation, error) {
	at := slices.IndexFunc(lines, func(l Line) bool { return l.Message == RequestMessage && l.Fields["request"] == request })
	if at < 0 {
		return Explanation{}, errs.New(errs.NotFound, "no log line has request "+strconv.Quote(request),
			"pass the logs of all VMs; log sampling may omit a request that succeeded at the first attempt, and a request whose VM lost power has no line: "+describeRestarts(lines))
	}
	e := Explanation{Request: lines[at]}
	attempts, err := ParseAttempts(e.Request.Fields["tries"])
	if err != nil {
		return Explanation{}, err
	}
	e.Attempts = attempts
	e.Related = e.relatedLines(lines)
	e.Causes = e.causes()
	return e, nil
}

// describeRestarts lists the VMs that started more than once.
func describeRestarts(lines []Line) string {
	count := map[string]int{}
	for _, l := range lines {
		if l.Message == "started" {
			count[l.VM]++
		}
	}
	var restarted []string
	for vm, n := range count {
		if n > 1 {
			restarted = append(restarted, vm)
		}
	}
	if len(restarted) == 0 {
		return "no VM restarted in these logs"
	}
	slices.Sort(restarted)
	return "VMs that restarted: " + strings.Join(restarted, ", ")
}

// relatedLines selects the lines that may explain the request's outcome: those about
// its servers, its VM and the VMs that granted its slots, and the configuration in force.
func (e *Explanation) relatedLines(lines []Line) []Line {
	servers, vms := map[string]bool{}, map[string]bool{e.Request.VM: true}
	for _, attempt := range e.Attempts {
		servers[attempt.Server] = true
		vms[attempt.Owner] = true
	}
	if owner := e.Request.Fields["home"]; owner != "" {
		vms[owner] = true
	}
	var selected, changes []Line
	var config *Line
	limits := map[string]Line{} // newest line about each server's limit
	for i := range lines {
		l := &lines[i]
		if l.Message == "configuration in force" && l.VM == e.Request.VM && !l.At.After(e.Request.At) && (config == nil || l.At.After(config.At)) {
			config = l
		}
		if server := l.Fields["server"]; servers[server] && l.Message == "server limit" && l.At.Before(e.Request.At.Add(-contextBefore)) && l.At.After(limits[server].At) {
			limits[server] = *l
		}
		if l.At.Before(e.Request.At.Add(-contextBefore)) || l.At.After(e.Request.At.Add(contextAfter)) || l.Message == RequestMessage {
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
	for _, l := range limits {
		selected = append(selected, l)
	}
	byTime := func(x, y Line) int { return x.At.Compare(y.At) }
	slices.SortStableFunc(changes, byTime)
	selected = append(selected, changes[max(0, len(changes)-maxServerChanges):]...)
	slices.SortStableFunc(selected, byTime)
	return selected
}

// causes describes the outcome of each attempt and which VM or server ended the request.
func (e *Explanation) causes() []string {
	var causes []string
	for i, attempt := range e.Attempts {
		causes = append(causes, "attempt "+strconv.Itoa(i+1)+": server "+attempt.describe())
	}
	f := e.Request.Fields
	switch status, reason := f["status"], f["reason"]; {
	case reason == "" && len(e.Attempts) > 0:
		causes = append(causes, "the caller received the answer of server "+e.Attempts[len(e.Attempts)-1].Server+" with status "+status)
	case status == "429":
		causes = append(causes, "refused by the rate limit of client account "+f["account"]+", before a server was selected: "+reason)
	case status == "401", status == "404":
		causes = append(causes, "refused according to configuration version "+cmp.Or(f["config"], "(unknown)")+" on VM "+e.Request.VM+": "+reason)
	case f["home"] != "":
		causes = append(causes, "refused by VM "+f["home"]+" with "+cmp.Or(f["queue"], "0")+" requests in its queue, after a wait of "+formatSeconds(f["waited"])+": "+reason+describeAtLimit(f["at_limit"]))
	default:
		causes = append(causes, "refused or ended by VM "+e.Request.VM+" with status "+status+": "+reason)
	}
	if f["age"] != "" {
		causes = append(causes, e.Request.VM+" used a configuration and server list that were known to match the platform's store "+formatSeconds(f["age"])+" earlier")
	}
	return causes
}

// describeAtLimit describes the servers that could not get the request because they had
// reached their limits.
func describeAtLimit(servers string) string {
	if servers == "" {
		return ""
	}
	return " (" + servers + " servers had reached their limits)"
}

// describe returns the attempt as text for people, starting with the server's name.
func (a *Attempt) describe() string {
	text := a.Server + ": outcome " + a.Outcome + " after " + a.Took.String() + ", slot granted by VM " + a.Owner
	if a.LocalGrant {
		text += " (its own decision: the service's owner did not answer)"
	}
	if a.Queued > 0 {
		text += " after a wait of " + a.Queued.String() + " in the queue"
	}
	if a.Limit > 0 {
		text += ", within the server's limit of " + strconv.FormatFloat(a.Limit, 'f', -1, 64) + " requests a second"
	}
	if a.Outcome == "answered" {
		return text
	}
	if a.Failing >= suspectedFrom {
		return text + "; the server was suspected of failing, but no better one was available"
	}
	return text + "; the server was not suspected of failing"
}

// formatSeconds formats a number of seconds from a log line, rounded to milliseconds.
func formatSeconds(text string) string {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return cmp.Or(text, "0s")
	}
	return time.Duration(value * float64(time.Second)).Round(time.Millisecond).String()
}

package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"lacewingmount.dev/timeline"
)

// TimelineCommand merges the time lines of processes.
type TimelineCommand struct {
	Admins  []string `arg:"" help:"Admin addresses of the processes, such as 127.0.0.1:7201."`
	Account string   `help:"Only events of this client account."`
	Server  string   `help:"Only events of this backend server."`
	Request string   `help:"Only events of this request id."`
	Kind    string   `help:"Only events of this kind."`
	Last    int      `help:"Only the newest N events; 0 for all."`
}

// Run implements the command.
func (c *TimelineCommand) Run(env *Env) error {
	var events []timeline.Event
	for _, admin := range c.Admins {
		fetched, err := fetchEvents(env.Context, admin)
		if err != nil {
			env.printf("# %s could not be reached: %v\n", admin, err)
			continue
		}
		events = append(events, fetched...)
	}
	events = c.filter(events)
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	if c.Last > 0 && len(events) > c.Last {
		events = events[len(events)-c.Last:]
	}
	for _, event := range events {
		printEvent(env, event)
	}
	return nil
}

func (c *TimelineCommand) filter(events []timeline.Event) []timeline.Event {
	var kept []timeline.Event
	for _, event := range events {
		if matches(c.Account, event.Account) && matches(c.Server, event.Server) &&
			matches(c.Request, event.Request) && matches(c.Kind, string(event.Kind)) {
			kept = append(kept, event)
		}
	}
	return kept
}

func matches(wanted, value string) bool { return wanted == "" || wanted == value }

func fetchEvents(ctx context.Context, admin string) ([]timeline.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/timeline", nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	var events []timeline.Event
	return events, json.NewDecoder(answer.Body).Decode(&events)
}

func printEvent(env *Env, event timeline.Event) {
	env.printf("%s.%d vm=%s program=%s kind=%s", time.Unix(0, event.At.Wall).UTC().Format("15:04:05.000000"), event.At.Counter, event.VM, event.Program, event.Kind)
	for _, field := range []struct{ name, value string }{
		{"account", event.Account}, {"server", event.Server}, {"request", event.Request}, {"reason", event.Reason},
	} {
		if field.value != "" {
			env.printf(" %s=%q", field.name, field.value)
		}
	}
	if event.Revision > 0 {
		env.printf(" revision=%d", event.Revision)
	}
	env.printf("\n")
}

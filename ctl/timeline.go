package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/timeline"
	"lacewingmount.dev/wire"
)

// TimelineCommand merges the timelines of processes and prints the events. With
// --platform or --agent it requests the admin addresses of the processes from the
// agents.
type TimelineCommand struct {
	Admins   []string `arg:"" optional:"" help:"Admin addresses of the processes, such as 127.0.0.1:7201."`
	Platform string   `help:"Base URL of the platform, whose list of VMs is used to find all processes." placeholder:"URL"`
	Agent    []string `help:"Address of an agent to use in addition to those on the platform's list of VMs." placeholder:"IP:PORT"`
	Account  string   `help:"Only events of this client account."`
	Server   string   `help:"Only events of this backend server."`
	Request  string   `help:"Only events of this request id."`
	Kind     string   `help:"Only events of this kind."`
	Last     int      `help:"Only the newest N events; 0 for all."`
}

// Run implements the command.
func (c *TimelineCommand) Run(env *Env) error {
	admins, err := c.adminAddresses(env)
	if err != nil {
		return err
	}
	var lists [][]timeline.Event
	for _, admin := range admins {
		fetched, err := fetchEvents(env.Context, admin)
		if err != nil {
			env.printf("# lost: the process at %s could not be reached: %v\n", admin, err)
			continue
		}
		lists = append(lists, fetched)
	}
	events := c.filter(timeline.Merge(lists...))
	if c.Last > 0 && len(events) > c.Last {
		events = events[len(events)-c.Last:]
	}
	for _, event := range events {
		printEvent(env, event)
	}
	return nil
}

// adminAddresses returns the admin addresses of all processes that can be found, and
// prints a line for each process that cannot.
func (c *TimelineCommand) adminAddresses(env *Env) ([]string, error) {
	admins := c.Admins
	if c.Platform == "" && len(c.Agent) == 0 {
		if len(admins) == 0 {
			return nil, errs.New(errs.Invalid, "no processes given", "pass --platform, --agent or admin addresses")
		}
		return admins, nil
	}
	vms, err := dialVMs(env.Context, metastore.NewHTTPClient(c.Platform), c.Agent)
	if err != nil {
		return nil, err
	}
	defer closeVMs(vms)
	for i, result := range requestStatuses(env.Context, vms, wire.StatusRequest{}) {
		if result.err != nil {
			env.printf("# lost: agent and entry of %s: %v\n", vms[i].vm.Name, result.err)
			continue
		}
		admins = append(admins, result.status.Admin)
		if result.status.Entry == nil {
			env.printf("# lost: the entry of %s does not report to its agent\n", vms[i].vm.Name)
			continue
		}
		admins = append(admins, result.status.Entry.Admin)
	}
	return admins, nil
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

// matches reports whether the value passes a filter; an empty filter passes all.
func matches(wanted, value string) bool { return wanted == "" || wanted == value }

// fetchEvents returns the events of the process at an admin address.
func fetchEvents(ctx context.Context, admin string) ([]timeline.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/timeline", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var events []timeline.Event
	return events, json.NewDecoder(response.Body).Decode(&events)
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

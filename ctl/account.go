package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/requestlog"
)

// AccountCommand counts from collected gateway logs why requests were not served.
type AccountCommand struct {
	Logs []string `arg:"" help:"Log files of all VMs, each ordered by time; - for standard input." placeholder:"FILE"`
	JSON bool     `help:"Print the account as JSON."`
	Plot string   `help:"Write a plot of the requests per second to this SVG file." placeholder:"FILE"`
}

// Run implements the command.
func (c *AccountCommand) Run(env *Env) error {
	var logs []io.Reader
	for _, path := range c.Logs {
		in, closeLog, err := openLog(path)
		if err != nil {
			return err
		}
		defer closeLog()
		logs = append(logs, in)
	}
	account, err := requestlog.ReadAccount(logs...)
	if err != nil {
		return err
	}
	if account.Requests() == 0 {
		return errs.New(errs.NotFound, "the logs contain no requests", "pass the logs of gateways")
	}
	if c.Plot != "" {
		if err := plotAccount(account, c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(env.Out).Encode(account)
	}
	return writeAccount(env.Out, account)
}

// openLog opens a log file, or standard input if path is "-".
func openLog(path string) (in io.Reader, closeLog func(), err error) {
	if path == "-" {
		return os.Stdin, func() {}, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, errs.Wrap(err, errs.Invalid, "the log file cannot be opened", "pass files with the lines of all VMs")
	}
	return file, func() { _ = file.Close() }, nil // an error does not matter, as the file is only read
}

// writeAccount writes a table with a row per cause and a column per service.
func writeAccount(out io.Writer, account *requestlog.Account) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, count func(*requestlog.ServiceAccount) int) {
		total := 0
		for i := range account.Services {
			total += count(&account.Services[i])
		}
		if total == 0 {
			return
		}
		fmt.Fprintf(table, "%s\t", name)
		for i := range account.Services {
			n := count(&account.Services[i])
			fmt.Fprintf(table, "%d\t%s\t", n, percent(n, account.Services[i].Requests))
		}
		fmt.Fprintf(table, "%d\t%s\t\n", total, percent(total, account.Requests()))
	}
	fmt.Fprint(table, "service\t")
	for i := range account.Services {
		name := account.Services[i].Service
		if name == "" {
			name = "(no route)"
		}
		fmt.Fprintf(table, "%s\t\t", name)
	}
	fmt.Fprint(table, "all\t\t\n")
	row("requests", func(s *requestlog.ServiceAccount) int { return s.Requests })
	row("served", func(s *requestlog.ServiceAccount) int { return s.Served })
	for _, cause := range requestlog.Causes {
		row(string(cause), func(s *requestlog.ServiceAccount) int { return s.Causes[cause] })
	}
	return table.Flush()
}

func percent(n, of int) string {
	return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(1, of)))
}

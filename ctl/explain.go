package ctl

import "lacewingmount.dev/requestlog"

// ExplainCommand explains from collected gateway logs why a request ended as it did.
type ExplainCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" help:"Log files of all VMs, in any order; - for standard input." placeholder:"FILE"`
}

// Run implements the command.
func (c *ExplainCommand) Run(env *Env) error {
	var lines []requestlog.Line
	for _, path := range c.Logs {
		read, err := readLog(path, c.Request)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	e, err := requestlog.Explain(lines, c.Request)
	if err != nil {
		return err
	}
	env.printf("%s\n", e.Request.Text)
	for _, cause := range e.Causes {
		env.printf("- %s\n", cause)
	}
	for _, line := range e.Related {
		env.printf("%+8.3fs %s\n", line.At.Sub(e.Request.At).Seconds(), line.Text)
	}
	return nil
}

// readLog reads the log lines that explain the request from a file, or from standard
// input if path is "-".
func readLog(path, request string) ([]requestlog.Line, error) {
	in, closeLog, err := openLog(path)
	if err != nil {
		return nil, err
	}
	defer closeLog()
	return requestlog.Read(in, request)
}

package requestlog

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"lacewingmount.dev/errs"
)

const maxLineBytes = 1 << 20 // the fleet writes no longer lines; Read fails on one

// RequestMessage is the message of the log line that a gateway writes when a request ends.
const RequestMessage = "request"

// Line is one line of a collected log.
type Line struct {
	At      time.Time // by the VM's clock, which may be wrong
	VM      string
	Message string
	Fields  map[string]string // values by log key
	Text    string            // the line without a prefix that a log collector added
}

// Read returns the line of the given request and all lines that are not about requests.
// Lines of other programs are skipped. It fails if the log cannot be read or has a line
// longer than maxLineBytes.
func Read(in io.Reader, request string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if ok && (line.Message != RequestMessage || line.Fields["request"] == request) {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "the log cannot be read", "pass text files with one event per line of at most 1 MiB")
	}
	return lines, nil
}

// parseLine parses one line and skips a prefix that a log collector added.
func parseLine(text string) (Line, bool) {
	start := strings.Index(text, "ts=")
	if start < 0 {
		return Line{}, false
	}
	line := Line{Text: text[start:], Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(line.Text))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		line.Fields[string(decoder.Key())] = string(decoder.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields["ts"])
	if err != nil || decoder.Err() != nil {
		return Line{}, false
	}
	line.At, line.VM, line.Message = at, line.Fields["vm"], line.Fields["msg"]
	return line, line.VM != "" && line.Message != ""
}

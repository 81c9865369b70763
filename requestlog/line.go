package requestlog

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"lacewingmount.dev/errs"
)

const maxLine = 1 << 20 // bytes; longer lines are no lines of the fleet

// RequestMessage is the message of the one line that tells how a request ended.
const RequestMessage = "request"

// Line is one event of a collected log.
type Line struct {
	At      time.Time // by the clock of the VM, which may be wrong
	VM      string
	Message string
	Fields  map[string]string
	Text    string // without what a collector wrote before it
}

// Read returns the lines that can matter to one request: its own, and those that
// concern no request. Lines of other programs are skipped.
func Read(in io.Reader, request string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if ok && (line.Message != RequestMessage || line.Fields["request"] == request) {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "log cannot be read", "pass text files with one event a line")
	}
	return lines, nil
}

// parseLine reads one line, after whatever a log collector has put before it.
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

package requestlog

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"lacewingmount.dev/errs"
)

// Account counts the requests of collected logs and why they were not served.
type Account struct {
	Services []ServiceAccount `json:"services"` // by name; requests without a route have the service ""
	Seconds  []SecondAccount  `json:"seconds"`  // from the first request's second on
}

// ServiceAccount counts the requests for one service.
type ServiceAccount struct {
	Service  string        `json:"service"`
	Requests int           `json:"requests"`
	Served   int           `json:"served"`
	Causes   map[Cause]int `json:"causes"` // requests that were not served
}

// SecondAccount counts the requests that ended within one second.
type SecondAccount struct {
	Second  int `json:"second"` // since the first request
	Served  int `json:"served"`
	Refused int `json:"refused"` // with a status that means not run
	Failed  int `json:"failed"`
	Avoided int `json:"avoided"` // servers that an owner avoided at the end of the second
}

// Requests returns the number of requests in the logs.
func (a *Account) Requests() int {
	n := 0
	for _, s := range a.Services {
		n += s.Requests
	}
	return n
}

// accountLine holds the fields of a line that an account uses.
type accountLine struct {
	at                               time.Time
	message, service, server, status string
	reason, tries, avoided           string
}

// lineFilter passes on the lines that an account uses, without the prefix that a log
// collector added.
type lineFilter struct {
	lines   *bufio.Scanner
	pending []byte
}

// Read implements io.Reader.
func (f *lineFilter) Read(p []byte) (int, error) {
	for len(f.pending) == 0 {
		if !f.lines.Scan() {
			return 0, cmp.Or(f.lines.Err(), io.EOF)
		}
		line := f.lines.Bytes()
		start := bytes.Index(line, []byte("ts="))
		if start < 0 || !bytes.Contains(line, []byte("msg=request ")) && !bytes.Contains(line, []byte(`msg="server avoided"`)) && !bytes.Contains(line, []byte(`msg="server taken back"`)) {
			continue
		}
		f.pending = append(append(f.pending[:0], line[start:]...), '\n')
	}
	n := copy(p, f.pending)
	f.pending = f.pending[n:]
	return n, nil
}

// accountReader reads the lines of one log that an account uses.
type accountReader struct{ decoder *logfmt.Decoder }

func newAccountReader(in io.Reader) *accountReader {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	return &accountReader{logfmt.NewDecoderSize(&lineFilter{lines: scanner}, maxLineBytes)}
}

// next returns the next line. ok is false at the end of the log.
func (r *accountReader) next() (line accountLine, ok bool, err error) {
	for r.decoder.ScanRecord() {
		line = accountLine{}
		for r.decoder.ScanKeyval() {
			line.set(r.decoder.Key(), r.decoder.Value())
		}
		if !line.at.IsZero() {
			return line, true, nil
		}
	}
	if err := r.decoder.Err(); err != nil {
		return line, false, errs.Wrap(err, errs.Invalid, "the log cannot be read", "pass text files with one event per line of at most 1 MiB")
	}
	return line, false, nil
}

func (l *accountLine) set(key, value []byte) {
	switch string(key) {
	case "ts":
		if at, err := time.Parse(time.RFC3339Nano, string(value)); err == nil {
			l.at = at
		}
	case "msg":
		l.message = string(value)
	case "service":
		l.service = string(value)
	case "server":
		l.server = string(value)
	case "status":
		l.status = string(value)
	case "reason":
		l.reason = string(value)
	case "tries":
		l.tries = string(value)
	case "for":
		l.avoided = string(value)
	}
}

// ReadAccount reads the logs of all VMs in one pass and counts their requests. Each log
// is to be ordered by time; a log may hold the lines of several VMs. It fails with kind
// Invalid if a log cannot be read or a request line cannot be parsed.
func ReadAccount(logs ...io.Reader) (*Account, error) {
	merged, err := newMerger(logs)
	if err != nil {
		return nil, err
	}
	b := accountBuilder{classifier: classifier{servers: map[string]*serverHistory{}}, services: map[string]*ServiceAccount{}, avoided: map[string]time.Time{}}
	for {
		line, ok, err := merged.next()
		if err != nil {
			return nil, err
		}
		if !ok {
			return b.account(), nil
		}
		if err := b.add(&line); err != nil {
			return nil, err
		}
	}
}

// merger merges logs by time. It holds one line of each.
type merger struct {
	readers []*accountReader
	heads   []accountLine
}

func newMerger(logs []io.Reader) (*merger, error) {
	m := &merger{}
	for _, log := range logs {
		if err := m.advance(newAccountReader(log)); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// advance puts the next line of the reader in its place by time, latest first.
func (m *merger) advance(r *accountReader) error {
	line, ok, err := r.next()
	if err != nil || !ok {
		return err
	}
	at, _ := slices.BinarySearchFunc(m.heads, line.at, func(head accountLine, at time.Time) int { return at.Compare(head.at) })
	m.heads, m.readers = slices.Insert(m.heads, at, line), slices.Insert(m.readers, at, r)
	return nil
}

func (m *merger) next() (accountLine, bool, error) {
	if len(m.heads) == 0 {
		return accountLine{}, false, nil
	}
	last := len(m.heads) - 1
	line, reader := m.heads[last], m.readers[last]
	m.heads, m.readers = m.heads[:last], m.readers[:last]
	return line, true, m.advance(reader)
}

// accountBuilder builds an Account line by line.
type accountBuilder struct {
	classifier classifier
	services   map[string]*ServiceAccount
	seconds    []SecondAccount
	first      time.Time
	avoided    map[string]time.Time // end of the avoidance of a server
}

func (b *accountBuilder) add(line *accountLine) error {
	if line.message != RequestMessage {
		seconds, err := strconv.ParseFloat(line.avoided, 64)
		if err != nil {
			return errs.New(errs.Invalid, "the time in a line about server "+line.server+" cannot be parsed: "+strconv.Quote(line.avoided), "use the lacewingctl of the gateway's version")
		}
		avoided := time.Duration(seconds * float64(time.Second))
		b.classifier.observeAvoidance(line.at, line.server, avoided)
		b.avoided[line.server] = line.at.Add(avoided)
		return nil
	}
	attempts, err := ParseAttempts(line.tries)
	if err != nil {
		return err
	}
	cause := b.classifier.cause(line.at, line.status, line.reason, attempts)
	service := b.services[line.service]
	if service == nil {
		service = &ServiceAccount{Service: line.service, Causes: map[Cause]int{}}
		b.services[line.service] = service
	}
	service.Requests++
	second := b.second(line.at)
	switch {
	case cause == "":
		service.Served++
		second.Served++
		return nil
	case strings.HasPrefix(line.status, "4") || line.status == "503":
		second.Refused++
	default:
		second.Failed++
	}
	service.Causes[cause]++
	return nil
}

// second returns the counts of the second of the given time. Lines of VMs whose clocks
// are behind count for the first or the current second.
func (b *accountBuilder) second(at time.Time) *SecondAccount {
	if b.first.IsZero() {
		b.first = at
	}
	index := max(0, int(at.Sub(b.first)/time.Second))
	for len(b.seconds) <= index {
		b.closeSecond()
		b.seconds = append(b.seconds, SecondAccount{Second: len(b.seconds)})
	}
	return &b.seconds[index]
}

// closeSecond counts the servers that are avoided at the end of the last second.
func (b *accountBuilder) closeSecond() {
	if len(b.seconds) == 0 {
		return
	}
	end := b.first.Add(time.Duration(len(b.seconds)) * time.Second)
	last := &b.seconds[len(b.seconds)-1]
	for server, until := range b.avoided {
		if until.Before(end) {
			delete(b.avoided, server)
			continue
		}
		last.Avoided++
	}
}

func (b *accountBuilder) account() *Account {
	b.closeSecond()
	a := &Account{Seconds: b.seconds}
	for _, service := range b.services {
		a.Services = append(a.Services, *service)
	}
	slices.SortFunc(a.Services, func(x, y ServiceAccount) int { return strings.Compare(x.Service, y.Service) })
	return a
}

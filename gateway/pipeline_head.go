package gateway

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
)

const (
	maxAheadHead    = 16 << 10 // bytes of a request head; the connection of a longer one is not read ahead
	maxLengthDigits = 15       // of a Content-Length; more could overflow
)

// headScanner finds the end of a request in the bytes of a connection. It accepts only heads
// that leave no room for interpretation, a subset of those that net/http accepts. After any
// other one, the end of the request is not known and the scanner is opaque. The zero value is
// ready to use.
type headScanner struct {
	line      []byte // beginning of a line whose end has not been fed
	size      int
	begun     bool // the request line was fed
	hosts     int
	length    int64 // of the body
	hasLength bool
	closes    bool // the response to the request closes the connection
	opaque    bool
}

// feed scans the next bytes of a head. It returns how many belong to the head, and whether
// the head is complete.
func (s *headScanner) feed(p []byte) (n int, complete bool) {
	for n < len(p) && !s.opaque {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			s.line = append(s.line, p[n:]...)
			s.size += len(p) - n
			s.opaque = s.size > maxAheadHead
			return len(p), false
		}
		line := p[n : n+i+1]
		n += i + 1
		s.size += i + 1
		if len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		if s.size > maxAheadHead {
			s.opaque = true
			break
		}
		if s.begun && len(line) == 2 && line[0] == '\r' {
			s.opaque = s.hosts != 1
			s.line = nil
			return n, !s.opaque
		}
		s.opaque = !s.accept(line)
		s.line = s.line[:0]
	}
	return n, false
}

// accept scans one line of the head. It reports false if the line is not understood without doubt.
func (s *headScanner) accept(line []byte) bool {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || len(text) == 0 {
		return false
	}
	for _, c := range text {
		if c < ' ' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	if !s.begun {
		s.begun = true
		return isPlainRequestLine(text)
	}
	name, value, ok := bytes.Cut(text, colon)
	if !ok || !isToken(name) {
		return false // also a line that continues the one before
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, hostHeader):
		s.hosts++
		return len(value) > 0
	case bytes.EqualFold(name, lengthHeader):
		return s.acceptLength(value)
	case bytes.EqualFold(name, connectionHeader):
		return s.acceptConnection(value)
	}
	return !slices.ContainsFunc(opaqueHeaders, func(header []byte) bool { return bytes.EqualFold(name, header) })
}

// acceptLength scans the value of a Content-Length.
func (s *headScanner) acceptLength(value []byte) bool {
	if s.hasLength || len(value) == 0 || len(value) > maxLengthDigits {
		return false
	}
	s.hasLength = true
	for _, c := range value {
		if c < '0' || c > '9' {
			return false
		}
		s.length = 10*s.length + int64(c-'0')
	}
	return true
}

// acceptConnection scans the value of a Connection header.
func (s *headScanner) acceptConnection(value []byte) bool {
	for option := range bytes.SplitSeq(value, []byte(",")) {
		switch option = bytes.Trim(option, " \t"); {
		case bytes.EqualFold(option, []byte("close")):
			s.closes = true
		case !bytes.EqualFold(option, []byte("keep-alive")):
			return false
		}
	}
	return true
}

// isPlainRequestLine reports whether the line is a method, a path and HTTP/1.1, separated by
// one space each.
func isPlainRequestLine(line []byte) bool {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	path, version, versionOK := bytes.Cut(rest, []byte(" "))
	if !ok || !versionOK || len(method) == 0 || string(method) == http.MethodConnect || string(method) == "PRI" {
		return false
	}
	for _, c := range method {
		if c < 'A' || c > 'Z' {
			return false
		}
	}
	return len(path) > 0 && path[0] == '/' && string(version) == "HTTP/1.1"
}

// isToken reports whether the text is a header name.
func isToken(text []byte) bool {
	for _, c := range text {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-'
		if !letter && strings.IndexByte("!#$%&'*+.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

var (
	colon            = []byte(":")
	hostHeader       = []byte("Host")
	lengthHeader     = []byte("Content-Length")
	connectionHeader = []byte("Connection")
	// opaqueHeaders change how a request or its connection is read. Requests with one are left to net/http.
	opaqueHeaders = [][]byte{
		[]byte("Transfer-Encoding"), []byte("Upgrade"), []byte("Expect"), []byte("Trailer"), []byte("Te"),
		[]byte("Proxy-Connection"), []byte("Keep-Alive"), []byte("Http2-Settings"),
	}
)

package entry

import (
	"bufio"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"lacewingmount.dev/config"
	"lacewingmount.dev/keys"
)

// FuzzCanonicalPath checks that a backend server interprets an accepted path in the same
// way as the entry, whether the server cleans the path or splits it at slashes.
func FuzzCanonicalPath(f *testing.F) {
	for _, seed := range []string{"/shelf", "/a/../b", "/a/%2e%2e/b", "/a%2fb", "/a//b", "/a;x/b", "/%5c..", "/a%252fb", "/a/./b/", "*", "//host/x", "/a%00b", "/a?x=/../y"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, target string) {
		parsed, err := url.ParseRequestURI(target)
		if err != nil || !canonical(&http.Request{URL: parsed}) {
			return
		}
		sent, err := url.ParseRequestURI(parsed.RequestURI())
		if err != nil || sent.Path != parsed.Path {
			t.Fatalf("%q is sent as %q", target, parsed.RequestURI())
		}
		if cleaned := path.Clean(parsed.Path); cleaned != strings.TrimSuffix(parsed.Path, "/") && cleaned != parsed.Path {
			t.Fatalf("%q is cleaned to %q", target, cleaned)
		}
		if strings.Count(sent.EscapedPath(), "/") != strings.Count(sent.Path, "/") {
			t.Fatalf("%q has encoded slashes", target)
		}
	})
}

// FuzzKeyHeaders checks that no copy of a key and no forged identity header reaches a
// backend server.
func FuzzKeyHeaders(f *testing.F) {
	f.Add("X-Client-Key: k\r\nConnection: x-client-key, close\r\n")
	f.Add("x-client-key: k\r\nX-CLIENT-KEY: l\r\nX-Client-Account: other\r\n")
	f.Add("Connection: X-Client-Account\r\nTrailer: X-Client-Key\r\nTransfer-Encoding: chunked\r\n")
	f.Fuzz(func(t *testing.T, lines string) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\n" + lines + "\r\n")))
		if err != nil {
			return
		}
		x := &Exchange{Request: request, Route: &config.Route{}, RequestID: "id"}
		a := newAttempt(t.Context(), &Server{}, true, nil)
		defer a.close()
		for name := range outbound(x, a, nil).Header {
			if strings.EqualFold(name, keys.Header) || strings.EqualFold(name, keys.AccountHeader) {
				t.Fatalf("%q reaches the backend server", name)
			}
		}
	})
}

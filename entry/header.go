package entry

import (
	"net/http"
	"strings"
)

// hopHeaders are hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders deletes hopHeaders and the headers listed in Connection.
func removeHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// copyHeader copies the end-to-end headers of a response except OutcomeHeader, which
// only the entry itself sets.
func copyHeader(to, from http.Header) {
	from = from.Clone()
	removeHopHeaders(from)
	from.Del(OutcomeHeader)
	for name, values := range from {
		to[name] = values
	}
}

package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers that apply to a single connection.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// endToEnd returns a copy of the headers without those that apply to a single
// connection.
func endToEnd(header http.Header) http.Header {
	passed := header.Clone()
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			passed.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		passed.Del(name)
	}
	return passed
}

// Package probe sends health requests to backend servers, each over a new
// connection, so that the result does not depend on connections in use.
package probe

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// DrainHeader is the header by which a backend server announces, in any
	// response, that it is draining and should get no new requests.
	DrainHeader = "X-Draining"
	// HealthPath is the default path of the health endpoint of backend servers.
	HealthPath = "/healthz"

	timeout        = time.Second // of a whole probe
	dialTimeout    = 500 * time.Millisecond
	maxBodyBytes   = 64 << 10
	maxHeaderBytes = 64 << 10
)

// Result is the result of a probe. It is zero if the server did not respond.
type Result struct {
	Answered bool // complete response with a status below 400
	Draining bool
}

var client = &http.Client{
	Timeout: timeout,
	Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	},
}

// Get probes the server at address (host:port). path is the health check path
// configured for the service; if it is empty, HealthPath is used.
func Get(ctx context.Context, address, path string) Result {
	if path == "" {
		path = HealthPath
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Result{}
	}
	response, err := client.Do(request)
	if err != nil {
		return Result{}
	}
	defer response.Body.Close()
	draining := Draining(response.Header)
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)); err != nil {
		return Result{Draining: draining}
	}
	return Result{Answered: response.StatusCode < http.StatusBadRequest, Draining: draining}
}

// Draining reports whether the headers of a response contain the drain flag: a
// DrainHeader with a value other than "" and "false".
func Draining(header http.Header) bool {
	value := header.Get(DrainHeader)
	return value != "" && value != "false"
}

// Package probe asks a backend server's health endpoint over a connection of
// its own, so that the answer says nothing about connections in use.
package probe

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// DrainHeader says, on any answer of a backend server, that it leaves and
	// wants no new work.
	DrainHeader = "X-Draining"
	// HealthPath is the health endpoint of backend servers.
	HealthPath = "/healthz"

	timeout        = time.Second
	dialTimeout    = 500 * time.Millisecond
	maxBodyBytes   = 64 << 10
	maxHeaderBytes = 64 << 10
)

// Result is what a health endpoint answered.
type Result struct {
	Answered bool // with a status below 400
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

// Get probes the server at address. path is the service's own probe, or "" for
// the health endpoint.
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

// Draining reports whether an answer says that its server leaves.
func Draining(header http.Header) bool {
	value := header.Get(DrainHeader)
	return value != "" && value != "false"
}

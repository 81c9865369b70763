package metastore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/sockets"
	"lacewingmount.dev/traffic"
)

// Request is the JSON body of one call to the platform's HTTP interface.
type Request struct {
	Key      string        `json:"key,omitempty"`
	Value    []byte        `json:"value,omitempty"`
	Expect   Version       `json:"expect,omitempty"`
	Lease    LeaseID       `json:"lease,omitempty"`
	After    Version       `json:"after,omitempty"`
	Duration time.Duration `json:"span,omitempty"` // TTL of a lease or longest wait of a watch, in nanoseconds
}

// Response is the JSON body of the response to a Request. If Kind is set, the call
// failed with an error of that kind, message and remedy.
type Response struct {
	Entries []Entry   `json:"entries,omitempty"`
	Version Version   `json:"version,omitempty"`
	Lease   LeaseID   `json:"lease,omitempty"`
	VMs     []VM      `json:"vms,omitempty"`
	Kind    errs.Kind `json:"kind,omitempty"`
	Message string    `json:"message,omitempty"`
	Remedy  string    `json:"remedy,omitempty"`
}

// Paths of the platform's HTTP interface. All calls are POST.
const (
	PathGet            = "/v1/get"
	PathList           = "/v1/list"
	PathCompareAndSwap = "/v1/compare-and-swap"
	PathDelete         = "/v1/delete"
	PathWatch          = "/v1/watch"
	PathGrantLease     = "/v1/lease/grant"
	PathRenewLease     = "/v1/lease/renew"
	PathVMs            = "/v1/vms"
)

const (
	dialTimeout      = time.Second
	callTimeout      = 2 * time.Second
	maxResponseBytes = 64 << 20
	idleConnTimeout  = 30 * time.Second
)

// meter counts the bytes on all connections to the platform.
var meter = traffic.NewMeter("lacewing_store_sent_bytes_total", "lacewing_store_received_bytes_total")

// HTTPClient is a client of the platform's HTTP interface. It implements Store and VMList.
type HTTPClient struct {
	base   string
	client *http.Client
}

// NewHTTPClient returns a client of the platform at base, such as "http://127.0.0.1:7000".
func NewHTTPClient(base string) *HTTPClient {
	transport := &http.Transport{
		DialContext:         meter.Dialer(sockets.Dialer(dialTimeout)),
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &HTTPClient{base: base, client: &http.Client{Transport: transport}}
}

// Get implements Store.
func (c *HTTPClient) Get(ctx context.Context, key string) (Entry, error) {
	response, err := c.call(ctx, PathGet, Request{Key: key}, callTimeout)
	if err != nil {
		return Entry{}, err
	}
	if len(response.Entries) != 1 {
		return Entry{}, errs.New(errs.Unavailable, "malformed response from the store", "check the platform's version")
	}
	return response.Entries[0], nil
}

// List implements Store.
func (c *HTTPClient) List(ctx context.Context, prefix string) ([]Entry, error) {
	response, err := c.call(ctx, PathList, Request{Key: prefix}, callTimeout)
	return response.Entries, err
}

// CompareAndSwap implements Store.
func (c *HTTPClient) CompareAndSwap(ctx context.Context, key string, value []byte, expect Version, id LeaseID) (Version, error) {
	response, err := c.call(ctx, PathCompareAndSwap, Request{Key: key, Value: value, Expect: expect, Lease: id}, callTimeout)
	return response.Version, err
}

// Delete implements Store.
func (c *HTTPClient) Delete(ctx context.Context, key string, expect Version) error {
	_, err := c.call(ctx, PathDelete, Request{Key: key, Expect: expect}, callTimeout)
	return err
}

// Watch implements Store.
func (c *HTTPClient) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, error) {
	response, err := c.call(ctx, PathWatch, Request{Key: prefix, After: after, Duration: wait}, wait+callTimeout)
	return response.Entries, err
}

// GrantLease implements Store.
func (c *HTTPClient) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	response, err := c.call(ctx, PathGrantLease, Request{Duration: ttl}, callTimeout)
	return response.Lease, err
}

// RenewLease implements Store.
func (c *HTTPClient) RenewLease(ctx context.Context, id LeaseID) error {
	_, err := c.call(ctx, PathRenewLease, Request{Lease: id}, callTimeout)
	return err
}

// VMs implements VMList.
func (c *HTTPClient) VMs(ctx context.Context) ([]VM, error) {
	response, err := c.call(ctx, PathVMs, Request{}, callTimeout)
	return response.VMs, err
}

// call sends one request and returns the decoded response. A call without a response
// closes all idle connections, so that no later call uses an unresponsive one.
func (c *HTTPClient) call(ctx context.Context, path string, body Request, timeout time.Duration) (Response, error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`lacewing_store_calls_total{path=%q}`, path)).Inc()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	content, err := json.Marshal(body)
	if err != nil {
		return Response{}, errs.Wrap(err, errs.Invalid, "cannot encode the store request", "report this as a defect")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(content))
	if err != nil {
		return Response{}, errs.Wrap(err, errs.Invalid, "invalid platform address "+c.base, "correct the setting platform")
	}
	request.Header.Set("Content-Type", "application/json")
	request.GetBody = nil // the transport must not replay a write on a stale connection
	response, err := c.client.Do(request)
	if err != nil {
		c.client.CloseIdleConnections()
		return Response{}, noAnswerError(err, path)
	}
	defer response.Body.Close()
	return decode(response, path)
}

func decode(response *http.Response, path string) (Response, error) {
	if response.StatusCode != http.StatusOK {
		return Response{}, noAnswerError(errors.Newf("status %d", response.StatusCode), path)
	}
	var decoded Response
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&decoded); err != nil {
		return Response{}, noAnswerError(err, path)
	}
	if decoded.Kind != "" {
		return Response{}, errs.New(decoded.Kind, decoded.Message, decoded.Remedy)
	}
	return decoded, nil
}

// noAnswerError returns the error of a call without a usable response. The kind is
// Ambiguous for a write if a connection was established, because the write may have
// taken effect, and Unavailable otherwise.
func noAnswerError(cause error, path string) error {
	kind := errs.Unavailable
	var network *net.OpError
	connected := !errors.As(cause, &network) || network.Op != "dial"
	if connected && (path == PathCompareAndSwap || path == PathDelete) {
		kind = errs.Ambiguous
	}
	return errs.Wrap(cause, kind, "no answer from the store to "+path, "check the platform's store and the network to it")
}

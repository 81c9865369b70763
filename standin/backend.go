package standin

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"lacewingmount.dev/keys"
)

// BackendSettings are the settings of a process that runs fake backend servers.
type BackendSettings struct {
	Admin   string          `yaml:"admin" validate:"hostname_port"`
	Servers []BackendServer `yaml:"servers" validate:"min=1,dive"`
}

// BackendServer is the name and the address of one fake backend server.
type BackendServer struct {
	Name   string `yaml:"name" validate:"required"`
	Listen string `yaml:"listen" validate:"hostname_port"`
}

// BackendFaults are the faults of one fake backend server.
type BackendFaults struct {
	Delay      time.Duration `json:"delay"`       // before each response, nanoseconds
	ErrorShare float64       `json:"error_share"` // share of requests that get status 500, 0 to 1, evenly spread
	Shed       bool          `json:"shed"`        // refuses requests without running them
	Hang       bool          `json:"hang"`        // runs requests and never responds
	Truncate   bool          `json:"truncate"`    // closes the connection after half of the response body
	Drain      bool          `json:"drain"`       // the health endpoint reports that the server is draining
	Unhealthy  bool          `json:"unhealthy"`   // the health endpoint reports status 503
	LoadFaults
}

// Headers and query parameters of requests and responses.
const (
	responseSizeParameter = "size" // of the response body, bytes
	requestID             = "X-Request-Id"
	notRunHeader          = "X-Not-Run"
	drainHeader           = "X-Draining"
	digestHeader          = "Content-Digest"
	markHeader            = "X-Standin-Mark" // copied into the response body, so that callers recognize their own response
	idempotencyKey        = "Idempotency-Key"
	maxResponseSize       = 64 << 20 // bytes
)

// Backend is a fake backend server. The number of its slots is set by LoadFaults.Slots.
type Backend struct {
	name           string
	mu             sync.Mutex
	faults         BackendFaults
	previousFaults BackendFaults // reported by the health endpoint until HealthLag has passed
	faultsSetAt    time.Time
	slots          slots
	received       int
	runs           map[string]int // runs by Idempotency-Key
	keys           int
}

// NewBackend returns a fake backend server without faults.
func NewBackend(name string) *Backend {
	return &Backend{name: name, runs: map[string]int{}}
}

// SetFaults replaces the faults.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.previousFaults, b.faults, b.faultsSetAt = b.faults, faults, time.Now()
	if faults.Slots != b.previousFaults.Slots {
		b.slots = newSlots(faults.Slots)
	}
}

// Report counts the requests that a fake backend server received and ran.
type Report struct {
	Name     string         `json:"name"`
	Served   int            `json:"served"`    // requests received
	Runs     map[string]int `json:"runs"`      // by Idempotency-Key
	KeysSeen int            `json:"keys_seen"` // requests that contained a client key
}

// Report returns the counts since the server was created.
func (b *Backend) Report() Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for key, count := range b.runs {
		runs[key] = count
	}
	return Report{Name: b.name, Served: b.received, Runs: runs, KeysSeen: b.keys}
}

// ServeHTTP responds to one request with the faults in effect.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		b.serveHealth(w)
		return
	}
	faults, slots, number := b.startRequest(r)
	if faults.DrainAnswers {
		w.Header().Set(drainHeader, "true")
	}
	if faults.Shed {
		w.Header().Set(notRunHeader, "shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	b.recordRun(r)
	if faults.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	slots.occupy(r.Context(), faults.Work)
	sleepContext(r.Context(), faults.Delay)
	if fails(faults.ErrorShare, number) {
		http.Error(w, "stand-in error", http.StatusInternalServerError)
		return
	}
	b.respond(w, r, sum.Sum(nil), faults.Truncate)
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	b.mu.Lock()
	faults := b.faults
	if time.Since(b.faultsSetAt) < faults.HealthLag {
		faults = b.previousFaults
	}
	b.mu.Unlock()
	if faults.Drain {
		w.Header().Set(drainHeader, "true")
	}
	if faults.Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *Backend) startRequest(r *http.Request) (BackendFaults, slots, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received++
	if r.Header.Get(keys.Header) != "" {
		b.keys++
	}
	return b.faults.inForce(time.Since(b.faultsSetAt)), b.slots, b.received
}

func (b *Backend) recordRun(r *http.Request) {
	key := r.Header.Get(idempotencyKey)
	if key == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[key]++
}

// respond sends a body of the requested size that starts with the caller's mark.
func (b *Backend) respond(w http.ResponseWriter, r *http.Request, uploaded []byte, truncate bool) {
	size, err := strconv.Atoi(r.URL.Query().Get(responseSizeParameter))
	if err != nil || size < 0 || size > maxResponseSize {
		size = 0
	}
	prefix := fmt.Sprintf("%s server=%s account=%s upload=%x\n", r.Header.Get(markHeader), b.name, r.Header.Get(keys.AccountHeader), uploaded)
	body := make([]byte, max(size, len(prefix)))
	copy(body, prefix)
	for i := len(prefix); i < len(body); i++ {
		body[i] = byte('a' + i%26)
	}
	sum := sha256.Sum256(body)
	header := w.Header()
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(digestHeader, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	if truncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// fails reports whether the request with this number fails, so that the share of
// failures is spread evenly over the requests.
func fails(share float64, number int) bool {
	return int(float64(number)*share) > int(float64(number-1)*share)
}

// BackendAdmin returns the control interface of several fake backend servers:
// PUT /faults/NAME, GET /report and GET /report/NAME.
func BackendAdmin(backends map[string]*Backend) http.Handler {
	router := echo.New()
	router.PUT("/faults/:name", func(c echo.Context) error {
		backend, ok := backends[c.Param("name")]
		if !ok {
			return echo.ErrNotFound
		}
		var faults BackendFaults
		if err := (&echo.DefaultBinder{}).BindBody(c, &faults); err != nil {
			return err
		}
		backend.SetFaults(faults)
		return c.NoContent(http.StatusNoContent)
	})
	router.GET("/report/:name", func(c echo.Context) error {
		backend, ok := backends[c.Param("name")]
		if !ok {
			return echo.ErrNotFound
		}
		return c.JSON(http.StatusOK, backend.Report())
	})
	router.GET("/report", func(c echo.Context) error {
		reports := make([]Report, 0, len(backends))
		for _, backend := range backends {
			reports = append(reports, backend.Report())
		}
		return c.JSON(http.StatusOK, reports)
	})
	return router
}

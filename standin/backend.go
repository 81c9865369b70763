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

// BackendSettings are the settings of a process that stands in for backend servers.
type BackendSettings struct {
	Admin   string          `yaml:"admin" validate:"hostname_port"`
	Servers []BackendServer `yaml:"servers" validate:"min=1,dive"`
}

// BackendServer is one backend server of the process.
type BackendServer struct {
	Name   string `yaml:"name" validate:"required"`
	Listen string `yaml:"listen" validate:"hostname_port"`
}

// BackendFaults are the faults of one backend server.
type BackendFaults struct {
	Delay      time.Duration `json:"delay"`       // before each answer, nanoseconds
	ErrorShare float64       `json:"error_share"` // of requests answered 500, 0 to 1, evenly spread
	Shed       bool          `json:"shed"`        // refuses without running
	Hang       bool          `json:"hang"`        // runs the request and never answers
	Truncate   bool          `json:"truncate"`    // breaks off half-way through the body
	Drain      bool          `json:"drain"`       // says in its health that it leaves
	Unhealthy  bool          `json:"unhealthy"`   // says in its health that it is down
	LoadFaults
}

// Request headers and query parameters that shape an answer.
const (
	sizeParameter  = "size" // bytes of the answer's body
	requestID      = "X-Request-Id"
	notRunHeader   = "X-Not-Run"
	drainHeader    = "X-Draining"
	digestHeader   = "Content-Digest"
	markHeader     = "X-Standin-Mark" // echoed, so that a caller knows its own answer
	idempotencyKey = "Idempotency-Key"
	maxSize        = 64 << 20
)

// Backend stands in for one backend server with 6 slots or any number.
type Backend struct {
	name   string
	mu     sync.Mutex
	faults BackendFaults
	before BackendFaults // the faults that the health endpoint still shows
	set    time.Time
	slots  slots
	served int
	runs   map[string]int // runs by Idempotency-Key
	keys   int
}

// NewBackend returns a backend server without faults.
func NewBackend(name string) *Backend {
	return &Backend{name: name, runs: map[string]int{}}
}

// SetFaults changes the faults.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.before, b.faults, b.set = b.faults, faults, time.Now()
	if faults.Slots != b.before.Slots {
		b.slots = newSlots(faults.Slots)
	}
}

// Report counts what a backend server saw.
type Report struct {
	Name     string         `json:"name"`
	Served   int            `json:"served"`
	Runs     map[string]int `json:"runs"`      // by Idempotency-Key
	KeysSeen int            `json:"keys_seen"` // requests that carried a client key
}

// Report returns what the server saw so far.
func (b *Backend) Report() Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for key, count := range b.runs {
		runs[key] = count
	}
	return Report{Name: b.name, Served: b.served, Runs: runs, KeysSeen: b.keys}
}

// ServeHTTP answers one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		b.serveHealth(w)
		return
	}
	faults, slots, number := b.begin(r)
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
	b.run(r)
	if faults.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	slots.occupy(r.Context(), faults.Work)
	sleep(r.Context(), faults.Delay)
	if failing(faults.ErrorShare, number) {
		http.Error(w, "stand-in error", http.StatusInternalServerError)
		return
	}
	b.answer(w, r, sum.Sum(nil), faults.Truncate)
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	b.mu.Lock()
	faults := b.faults
	if time.Since(b.set) < faults.HealthLag {
		faults = b.before
	}
	b.mu.Unlock()
	if faults.Drain {
		w.Header().Set(drainHeader, "true")
	}
	if faults.Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *Backend) begin(r *http.Request) (BackendFaults, slots, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served++
	if r.Header.Get(keys.Header) != "" {
		b.keys++
	}
	return b.faults.inForce(time.Since(b.set)), b.slots, b.served
}

func (b *Backend) run(r *http.Request) {
	key := r.Header.Get(idempotencyKey)
	if key == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[key]++
}

// answer sends a body of the wanted size that starts with the caller's mark.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, uploaded []byte, truncate bool) {
	size, err := strconv.Atoi(r.URL.Query().Get(sizeParameter))
	if err != nil || size < 0 || size > maxSize {
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

// failing spreads a share of failures evenly over the numbered requests.
func failing(share float64, number int) bool {
	return int(float64(number)*share) > int(float64(number-1)*share)
}

// BackendAdmin returns the control interface of several backend servers:
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

package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/metastore"
)

// PlatformSettings are the settings of the fake platform.
type PlatformSettings struct {
	Listen string         `yaml:"listen" validate:"hostname_port"`
	VMs    []metastore.VM `yaml:"vms" validate:"dive"`
}

// PlatformFaults are the faults of the fake platform. They can be changed while it runs.
type PlatformFaults struct {
	Down        bool          `json:"down"`         // the connection of every call is closed without a response
	StoreDown   bool          `json:"store_down"`   // like Down, except for calls that list the VMs
	Delay       time.Duration `json:"delay"`        // before each call, nanoseconds
	LoseWrites  int           `json:"lose_writes"`  // the next N writes take effect without a response
	LapseLeases bool          `json:"lapse_leases"` // all leases expire once, when the faults are set
}

// Platform serves a metastore.Memory over the platform's HTTP interface, with faults.
type Platform struct {
	memory *metastore.Memory
	mu     sync.Mutex
	faults PlatformFaults
	calls  map[string]int
}

// NewPlatform returns a fake platform without faults.
func NewPlatform(vms []metastore.VM) *Platform {
	memory := metastore.NewMemory(time.Now)
	memory.SetVMs(vms)
	return &Platform{memory: memory, calls: map[string]int{}}
}

// Memory returns the store behind the HTTP interface.
func (p *Platform) Memory() *metastore.Memory { return p.memory }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	p.faults = faults
	p.mu.Unlock()
	if faults.LapseLeases {
		p.memory.LapseLeases()
	}
}

// Handler returns the HTTP interface, with /faults, /set-vms and /calls for tests.
func (p *Platform) Handler() http.Handler {
	router := echo.New()
	for path, handle := range p.handlers() {
		router.POST(path, p.serve(path, handle))
	}
	router.PUT("/faults", p.putFaults)
	router.PUT("/set-vms", p.putVMs)
	router.GET("/calls", p.getCalls)
	return router
}

type handlerFunc func(context.Context, metastore.Request) (metastore.Response, error)

func (p *Platform) handlers() map[string]handlerFunc {
	m := p.memory
	return map[string]handlerFunc{
		metastore.PathGet: func(ctx context.Context, request metastore.Request) (metastore.Response, error) {
			entry, err := m.Get(ctx, request.Key)
			return metastore.Response{Entries: []metastore.Entry{entry}}, err
		},
		metastore.PathList: func(ctx context.Context, request metastore.Request) (metastore.Response, error) {
			entries, err := m.List(ctx, request.Key)
			return metastore.Response{Entries: entries}, err
		},
		metastore.PathCompareAndSwap: func(ctx context.Context, request metastore.Request) (metastore.Response, error) {
			version, err := m.CompareAndSwap(ctx, request.Key, request.Value, request.Expect, request.Lease)
			return metastore.Response{Version: version}, err
		},
		metastore.PathDelete: func(ctx context.Context, request metastore.Request) (metastore.Response, error) {
			return metastore.Response{}, m.Delete(ctx, request.Key, request.Expect)
		},
		metastore.PathWatch: func(ctx context.Context, request metastore.Request) (metastore.Response, error) {
			entries, err := m.Watch(ctx, request.Key, request.After, request.Duration)
			return metastore.Response{Entries: entries}, err
		},
		metastore.PathGrantLease: func(ctx context.Context, request metastore.Request) (metastore.Response, error) {
			id, err := m.GrantLease(ctx, request.Duration)
			return metastore.Response{Lease: id}, err
		},
		metastore.PathRenewLease: func(ctx context.Context, request metastore.Request) (metastore.Response, error) {
			return metastore.Response{}, m.RenewLease(ctx, request.Lease)
		},
		metastore.PathVMs: func(ctx context.Context, _ metastore.Request) (metastore.Response, error) {
			vms, err := m.VMs(ctx)
			return metastore.Response{VMs: vms}, err
		},
	}
}

func (p *Platform) serve(path string, handle handlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		var request metastore.Request
		if err := c.Bind(&request); err != nil {
			return err
		}
		faults := p.startCall(path)
		time.Sleep(faults.Delay)
		if faults.Down || faults.StoreDown && path != metastore.PathVMs {
			panic(http.ErrAbortHandler)
		}
		response, err := handle(c.Request().Context(), request)
		if p.losesResponse(path) || p.isDown(path) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			response = errorResponse(err)
		}
		return c.JSON(http.StatusOK, response)
	}
}

func errorResponse(err error) metastore.Response {
	response := metastore.Response{Kind: errs.KindOf(err), Message: err.Error()}
	var typed *errs.Error
	if errors.As(err, &typed) {
		response.Message, response.Remedy = typed.Message, typed.Remedy
	}
	return response
}

func (p *Platform) startCall(path string) PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[path]++
	return p.faults
}

func (p *Platform) isDown(path string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Down || p.faults.StoreDown && path != metastore.PathVMs
}

// losesResponse reports whether the response to this write is lost, and counts it.
func (p *Platform) losesResponse(path string) bool {
	if path != metastore.PathCompareAndSwap && path != metastore.PathDelete {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseWrites == 0 {
		return false
	}
	p.faults.LoseWrites--
	return true
}

func (p *Platform) putFaults(c echo.Context) error {
	var faults PlatformFaults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	p.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) putVMs(c echo.Context) error {
	var vms []metastore.VM
	if err := c.Bind(&vms); err != nil {
		return err
	}
	p.memory.SetVMs(vms)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) getCalls(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(http.StatusOK, p.calls)
}

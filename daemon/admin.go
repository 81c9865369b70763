package daemon

import (
	"context"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/timeline"
)

const adminReadHeaderTimeout = 5 * time.Second // for the header of one request

// Admin is the HTTP server for /metrics, /livez, /readyz and /timeline of one
// process.
type Admin struct {
	router *echo.Echo
	ready  atomic.Bool
}

// NewAdmin returns an admin server that serves events and reports not ready.
func NewAdmin(events *timeline.Ring) *Admin {
	admin := &Admin{router: echo.New()}
	admin.router.HideBanner, admin.router.HidePort = true, true
	admin.router.GET("/metrics", serveMetrics)
	admin.router.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	admin.router.GET("/readyz", admin.serveReady)
	admin.router.GET("/timeline", func(c echo.Context) error { return c.JSON(http.StatusOK, events.Events()) })
	return admin
}

// EnableProfiling serves Go's runtime profiles under /debug/pprof.
func (a *Admin) EnableProfiling() {
	a.router.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	a.router.GET("/debug/pprof/trace", echo.WrapHandler(http.HandlerFunc(pprof.Trace)))
	a.router.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
}

// Router returns the router, so that a program can add its own endpoints.
func (a *Admin) Router() *echo.Echo { return a.router }

// SetReady sets whether /readyz reports ready.
func (a *Admin) SetReady(ready bool) { a.ready.Store(ready) }

// Ready returns whether /readyz reports ready.
func (a *Admin) Ready() bool { return a.ready.Load() }

// Start listens on address and serves in the background until ctx ends.
func (a *Admin) Start(ctx context.Context, address string) error {
	return ServeHTTP(ctx, address, a.router)
}

// ServeHTTP listens on address and serves handler in the background until ctx ends.
// It fails with kind Invalid if it cannot listen on address.
func ServeHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := Listen(ctx, address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: adminReadHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// ServeMetrics is ServeHTTP for /metrics alone.
func ServeMetrics(ctx context.Context, address string) error {
	router := echo.New()
	router.GET("/metrics", serveMetrics)
	return ServeHTTP(ctx, address, router)
}

func (a *Admin) serveReady(c echo.Context) error {
	if !a.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func serveMetrics(c echo.Context) error {
	metrics.WritePrometheus(c.Response(), true)
	return nil
}

// errListen returns the error for an address that cannot be listened on.
func errListen(cause error, address string) error {
	return errs.Wrap(cause, errs.Invalid, "cannot listen on "+address, "choose a free address of this VM in the settings")
}

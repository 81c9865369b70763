package entry

import (
	"net/http"
	"path"
	"strings"
)

// routeStage finds the route of a request.
type routeStage struct{}

func (routeStage) Name() string { return "route" }

func (routeStage) Serve(x *Exchange) *Refusal {
	if !canonical(x.Request) {
		return refuseNotRun(http.StatusBadRequest, ReasonMalformed, "the path must be absolute, without dot segments, empty segments or encoded slashes")
	}
	route, found := x.Table.Route(x.Request.Method, x.Request.URL.Path)
	if !found {
		return refuseNotRun(http.StatusNotFound, ReasonNoRoute, "no route has this path")
	}
	if route == nil {
		return refuseNotRun(http.StatusMethodNotAllowed, ReasonMethod, "the route does not allow this method")
	}
	x.Route = route
	x.Service = x.Table.services[route.Service]
	return nil
}

// canonical reports whether the entry and a backend server interpret the path in the
// same way. Otherwise a caller could reach a route under the rules of another route.
func canonical(request *http.Request) bool {
	decoded := request.URL.Path
	if !strings.HasPrefix(decoded, "/") || strings.ContainsAny(decoded, "\\;\x00") {
		return false
	}
	cleaned := path.Clean(decoded)
	if cleaned != decoded && cleaned+"/" != decoded {
		return false
	}
	return !strings.Contains(strings.ToLower(request.URL.EscapedPath()), "%2f")
}

package wire

import (
	"context"
	"encoding/json"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/timeline"
)

// envelope is the params or the result of a JSON-RPC message.
type envelope struct {
	Stamp timeline.Stamp  `json:"s"`
	Body  json.RawMessage `json:"b,omitempty"`
}

// Handlers maps method names to the functions that answer calls.
type Handlers struct {
	clock   *timeline.Clock
	methods map[string]func(context.Context, json.RawMessage) (any, error)
}

// NewHandlers returns an empty map. Answers are timestamped by clock.
func NewHandlers(clock *timeline.Clock) *Handlers {
	return &Handlers{clock: clock, methods: map[string]func(context.Context, json.RawMessage) (any, error){}}
}

// Handle registers the function that answers calls of method. It must not be called
// after Serve.
func Handle[Q, A any](handlers *Handlers, method string, answer func(context.Context, Q) (A, error)) {
	handlers.methods[method] = func(ctx context.Context, body json.RawMessage) (any, error) {
		var request Q
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "malformed "+method, "run the same version on all VMs")
		}
		return answer(ctx, request)
	}
}

// Serve accepts connections on listener until ctx ends, and closes it.
func (h *Handlers) Serve(ctx context.Context, listener net.Listener) {
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	handler := h.handler()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		newConn(ctx, conn, handler)
	}
}

func (h *Handlers) handler() jsonrpc2.Handler {
	return jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(h.dispatch))
}

// dispatch answers one call.
func (h *Handlers) dispatch(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	answer, ok := h.methods[request.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + request.Method}
	}
	var received envelope
	if request.Params != nil {
		if err := json.Unmarshal(*request.Params, &received); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
	}
	h.clock.Observe(received.Stamp)
	result, err := answer(ctx, received.Body)
	if err != nil {
		return nil, encodeError(err)
	}
	body, err := json.Marshal(result)
	if err != nil {
		return nil, encodeError(err)
	}
	servedMethods.forMethod(request.Method).count(received.Body, body)
	return envelope{Stamp: h.clock.Now(), Body: body}, nil
}

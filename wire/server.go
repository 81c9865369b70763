package wire

import (
	"context"
	"encoding/json"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/timeline"
)

type envelope struct {
	Stamp timeline.Stamp  `json:"s"`
	Body  json.RawMessage `json:"b,omitempty"`
}

// Handlers maps method names to functions.
type Handlers struct {
	clock   *timeline.Clock
	methods map[string]func(context.Context, json.RawMessage) (any, error)
}

// NewHandlers returns an empty map whose messages are stamped by clock.
func NewHandlers(clock *timeline.Clock) *Handlers {
	return &Handlers{clock: clock, methods: map[string]func(context.Context, json.RawMessage) (any, error){}}
}

// Handle registers the function that answers calls of method.
func Handle[Q, A any](handlers *Handlers, method string, answer func(context.Context, Q) (A, error)) {
	handlers.methods[method] = func(ctx context.Context, body json.RawMessage) (any, error) {
		var question Q
		if err := json.Unmarshal(body, &question); err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "malformed "+method, "run the same version on all VMs")
		}
		return answer(ctx, question)
	}
}

// Serve accepts connections until ctx ends.
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
	servedMethods.of(request.Method).count(received.Body, body)
	return envelope{Stamp: h.clock.Now(), Body: body}, nil
}

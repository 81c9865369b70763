package entry

import (
	"bytes"
	"io"
	"net/http"

	"lacewingmount.dev/keys"
)

const requestIDHeader = "X-Request-Id"

// outbound returns the request to send to the server. Trailers of the request are not
// forwarded.
func outbound(x *Exchange, a *attempt, body *callerBody) *http.Request {
	request := x.Request.Clone(a.ctx)
	request.URL.Scheme, request.URL.Host = "http", a.server.Config.Address
	request.Host, request.RequestURI = a.server.Config.Address, ""
	request.Close = !a.lease.reuse
	request.Trailer, request.GetBody = nil, nil
	removeHopHeaders(request.Header)
	request.Header.Del("Expect") // the entry itself sends 100 Continue
	keys.Strip(request.Header)
	if x.Account != nil {
		request.Header.Set(keys.AccountHeader, x.Account.Name)
	}
	request.Header.Set(requestIDHeader, x.RequestID)
	setDeadline(request.Header, x)
	setBody(request, x, body)
	return request
}

// setBody sets the body of the request: the buffered body of a protected request, or the
// stream from the caller. The stream is not closed by the attempt, so that another attempt
// can use it if this one sends nothing.
func setBody(request *http.Request, x *Exchange, body *callerBody) {
	switch {
	case x.Body != nil && len(x.Body) == 0:
		request.Body, request.ContentLength, request.TransferEncoding = http.NoBody, 0, nil
	case x.Body != nil:
		request.Body = io.NopCloser(bytes.NewReader(x.Body))
		request.ContentLength, request.TransferEncoding = int64(len(x.Body)), nil
	case body != nil:
		request.Body = io.NopCloser(body)
	default:
		request.Body, request.ContentLength = nil, 0
	}
}

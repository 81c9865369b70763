package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// readBody reads the complete body before a slot is requested, so that the slot is
// not held during the upload and a request that did not run can be sent again.
func (q *request) readBody() *refusal {
	q.bodyRead = true
	limit := q.table.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if q.r.ContentLength > limit {
		return &refusal{http.StatusRequestEntityTooLarge, 0, "body is too long"}
	}
	body, err := q.readAll(limit)
	if err != nil {
		if errors.Is(err, errStopping) {
			q.bodyRead = false // the caller still sends it
			return &refusal{http.StatusServiceUnavailable, stoppingRetryAfter, "body did not arrive before this VM stops"}
		}
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			return &refusal{http.StatusRequestTimeout, 0, "body did not arrive before the deadline"}
		}
		if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
			return &refusal{http.StatusRequestEntityTooLarge, 0, "body is too long"}
		}
		return &refusal{http.StatusBadRequest, 0, "connection ended before the end of the body"}
	}
	q.outbound = &outbound{
		method: q.r.Method, uri: q.r.RequestURI, host: q.r.Host, id: q.caller.RequestID,
		header: endToEnd(q.r.Header), body: body, early: q.early,
	}
	return nil
}

// readAll reads the body until the deadline, or until a shutdown refuses new requests.
func (q *request) readAll(limit int64) ([]byte, error) {
	if q.r.Body == http.NoBody {
		return nil, nil
	}
	connection := http.NewResponseController(q.w)
	if err := connection.SetReadDeadline(q.deadline); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(q.g.accepting, func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) }) // fails only on a closed connection, which the read reports
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	if !stop() || !q.g.accepts(time.Now()) {
		return nil, errStopping
	}
	if err != nil {
		return nil, err
	}
	return body, connection.SetReadDeadline(time.Time{}) // otherwise the end of this deadline counts as the caller's leaving
}

// maxBodyBytes limits request bodies where the configuration sets no limit.
const maxBodyBytes = 64 << 20

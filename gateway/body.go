package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/daemon/memory"
	"lacewingmount.dev/placement"
)

const (
	// maxBodyBytes limits request bodies where the configuration sets no limit.
	maxBodyBytes = 64 << 20
	// Pieces of a body that is being received double from minPiece to maxPiece bytes, so that a
	// body holds at most twice what has arrived, and minPiece.
	minPiece = 4 << 10
	maxPiece = 256 << 10
)

var (
	errBodyTooLong = errors.New("body is over the limit of the configuration")
	errNoMemory    = errors.New("ended for its use of memory")
)

// body is a request body, held in pieces so that it is never copied while it grows.
type body struct {
	pieces [][]byte
	length int
}

// WriteTo implements io.WriterTo.
func (b *body) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, piece := range b.pieces {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// bodyLimit returns the limit of the configuration on bodies.
func (q *request) bodyLimit() int64 {
	if limit := q.table.config.Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return maxBodyBytes
}

// checkBody refuses a request before its body is read, where its announced size, the rate of
// its account or memory already decide. It takes no token: those are for requests that run,
// and a slow upload runs long after it has begun.
func (q *request) checkBody() *refusal {
	connection := http.NewResponseController(q.w)
	hold, err := q.g.budget.Open(q.accountName(), func(phase memory.Phase) {
		past := time.Unix(1, 0)
		if phase == memory.Delivering {
			_ = connection.SetWriteDeadline(past) // fails only on a closed connection
			return
		}
		_ = connection.SetReadDeadline(past)
	})
	if err != nil {
		return memoryRefusal(err)
	}
	q.hold = hold
	announced := q.r.ContentLength
	if announced > q.bodyLimit() {
		return &refusal{http.StatusRequestEntityTooLarge, 0, "body is too long"}
	}
	if q.r.Body == http.NoBody || announced >= 0 && announced <= memory.SmallHolder {
		return nil
	}
	if retryAfter, over := q.g.isOverRate(q.account); over {
		q.g.sendRelease(q.service, q.g.nextSeq(), q.g.peers.ownerOf(q.service).Name, ending{outcome: placement.Unadmitted})
		return &refusal{http.StatusTooManyRequests, retryAfter, "account is over its rate, as its owner told before"}
	}
	if err := q.hold.Announce(max(announced, memory.SmallHolder+1)); err != nil {
		return memoryRefusal(err)
	}
	return nil
}

// memoryRefusal returns the refusal of a request that gets no memory. Other VMs may have
// some, so it is the same for a body that never fits this VM's.
func memoryRefusal(err error) *refusal {
	return &refusal{http.StatusServiceUnavailable, memoryRetryAfter, err.Error()}
}

// readBody reads the complete body before a slot is requested, so that the slot is
// not held during the upload and a request that did not run can be sent again.
func (q *request) readBody() *refusal {
	q.bodyRead = true
	content, err := q.readAll(q.bodyLimit())
	if err != nil {
		return q.bodyRefusal(err)
	}
	q.outbound = &outbound{
		method: q.r.Method, uri: q.r.RequestURI, host: q.r.Host, id: q.caller.RequestID,
		header: endToEnd(q.r.Header), body: content, early: q.early, hold: q.hold,
	}
	return nil
}

// bodyRefusal returns the refusal of a request whose body was not received.
func (q *request) bodyRefusal(err error) *refusal {
	switch refused := daemon.Refused(""); {
	case errors.Is(err, errStopping):
		q.bodyRead = false // the caller still sends it
		return &refusal{http.StatusServiceUnavailable, stoppingRetryAfter, "body did not arrive before this VM stops"}
	case errors.As(err, &refused):
		q.bodyRead = false
		return memoryRefusal(err)
	case errors.Is(err, errNoMemory):
		q.bodyRead = false
		return memoryRefusal(err)
	case errors.Is(err, errBodyTooLong):
		q.bodyRead = false
		return &refusal{http.StatusRequestEntityTooLarge, 0, "body is too long"}
	}
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.DeadlineExceeded) {
		return &refusal{http.StatusRequestTimeout, 0, "body did not arrive before the deadline"}
	}
	return &refusal{http.StatusBadRequest, 0, "connection ended before the end of the body"}
}

// readAll reads the body until the deadline, until a shutdown refuses new requests, or until
// the request has to end for its use of memory.
func (q *request) readAll(limit int64) (body, error) {
	if q.r.Body == http.NoBody {
		return body{}, nil
	}
	connection := http.NewResponseController(q.w)
	if err := connection.SetReadDeadline(q.deadline); err != nil {
		return body{}, err
	}
	q.hold.SetPhase(memory.Arriving)
	waiting, cancel := context.WithCancelCause(q.r.Context())
	defer cancel(nil)
	waiting, cancelDeadline := context.WithDeadline(waiting, q.deadline)
	defer cancelDeadline()
	stop := context.AfterFunc(q.g.accepting, func() {
		cancel(errStopping)
		_ = connection.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, which the read reports
	})
	content, err := q.readPieces(waiting, limit)
	mayGoOn := q.hold.SetPhase(memory.Kept)
	if err != nil {
		q.bodyBegun = content.length > 0
		content = body{} // its memory is given back before the rest is discarded
		q.hold.Close()
	}
	switch {
	case !stop() || !q.g.accepts(time.Now()):
		return body{}, errStopping
	case !mayGoOn:
		return body{}, errNoMemory
	case err != nil:
		return body{}, err
	}
	return content, connection.SetReadDeadline(time.Time{}) // otherwise the end of this deadline counts as the caller's leaving
}

// readPieces reads the body into pieces, which are charged to the request before they are
// allocated.
func (q *request) readPieces(waiting context.Context, limit int64) (body, error) {
	var content body
	for size := minPiece; ; size = min(2*size, maxPiece) {
		room := limit + 1 - int64(content.length) // one byte beyond the limit shows that the body exceeds it
		if q.r.ContentLength >= 0 {
			room = q.r.ContentLength - int64(content.length)
			if room == 0 {
				return content, nil
			}
		}
		piece := int(min(int64(size), room))
		if err := q.hold.Reserve(waiting, piece); err != nil {
			return content, err
		}
		buffer := make([]byte, 0, piece)
		for len(buffer) < piece {
			n, err := q.r.Body.Read(buffer[len(buffer):piece])
			buffer = buffer[:len(buffer)+n]
			q.hold.Moved(n)
			if err == nil || err == io.EOF && len(buffer) == piece && q.r.ContentLength >= 0 {
				continue
			}
			content.add(buffer)
			if err == io.EOF {
				err = nil
			}
			return content, err
		}
		content.add(buffer)
		if int64(content.length) > limit {
			return content, errBodyTooLong
		}
	}
}

func (b *body) add(piece []byte) {
	if len(piece) > 0 {
		b.pieces = append(b.pieces, piece)
		b.length += len(piece)
	}
}

package gateway

import (
	"math"
	"net"

	"github.com/cockroachdb/errors"
)

// maxResponseHead limits the head of a server's answer, in bytes. Package net/http reads
// a head of any size.
const maxResponseHead = 64 << 10

var errHeadTooLong = errors.New("the server sent a head without end")

// headLimiter reads from a connection and limits the bytes that are read until endHead.
type headLimiter struct {
	net.Conn
	left int64
}

func (l *headLimiter) beginHead() { l.left = maxResponseHead }

func (l *headLimiter) endHead() { l.left = math.MaxInt64 }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.Conn.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

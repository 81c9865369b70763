package daemon

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"lacewingmount.dev/errs"
)

const (
	outputQueueLines = 4096                  // log lines queued for a slow reader; about 1 MB
	maxSyncTime      = 80 * time.Millisecond // a stop may take until this long before the process is killed
)

// NewOutputLogger returns a logger that writes one line of key=value pairs per
// event to standard output. It never blocks: when the queue for a slow reader is
// full or the reader has ended, lines are dropped and counted.
func NewOutputLogger(program, vm string) *zap.Logger {
	signal.Ignore(syscall.SIGPIPE) // a write to a closed standard output would end the process
	return newLogger(program, vm, newQueuedWriter(os.Stdout, outputQueueLines))
}

// queuedWriter queues lines for a goroutine that writes them.
type queuedWriter struct {
	queue chan queuedLine
}

// queuedLine is a line to write or, if written is not nil, the end of a Sync.
type queuedLine struct {
	text    []byte
	written chan struct{} // closed when all lines before it have been written
}

// newQueuedWriter returns a writer to out with a queue of length lines.
func newQueuedWriter(out io.Writer, length int) *queuedWriter {
	w := &queuedWriter{queue: make(chan queuedLine, length)}
	go func() {
		for line := range w.queue {
			if line.written != nil {
				close(line.written)
				continue
			}
			if _, err := out.Write(line.text); err != nil {
				droppedLines.Inc()
			}
		}
	}()
	return w
}

// Write implements io.Writer. It drops the line if the queue is full.
func (w *queuedWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- queuedLine{text: append([]byte(nil), line...)}:
	default:
		droppedLines.Inc()
	}
	return len(line), nil
}

// Sync waits until the lines queued before it are written. It fails after maxSyncTime: a
// reader or a disk that stands still must not keep the process from its end.
func (w *queuedWriter) Sync() error {
	timeout := time.NewTimer(maxSyncTime)
	defer timeout.Stop()
	written := make(chan struct{})
	select {
	case w.queue <- queuedLine{written: written}:
	case <-timeout.C:
		return errNotWritten
	}
	select {
	case <-written:
		return nil
	case <-timeout.C:
		return errNotWritten
	}
}

var errNotWritten = errs.New(errs.Unavailable, "the last log lines were not written within "+maxSyncTime.String(), "read the program's output faster")

// droppedLines counts log lines that were dropped or could not be written.
var droppedLines = metrics.GetOrCreateCounter("lacewing_log_dropped_lines_total")

package daemon

import (
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const outputQueueLines = 4096 // log lines queued for a slow reader; about 1 MB

// NewOutputLogger returns a logger that writes one line of key=value pairs per
// event to standard output. It never blocks: when the queue for a slow reader is
// full or the reader has ended, lines are dropped and counted.
func NewOutputLogger(program, vm string) *zap.Logger {
	signal.Ignore(syscall.SIGPIPE) // a write to a closed standard output would end the process
	return newLogger(program, vm, newQueuedWriter(os.Stdout, outputQueueLines))
}

// queuedWriter queues lines for a goroutine that writes them.
type queuedWriter struct {
	lines   chan []byte
	pending sync.WaitGroup
}

// newQueuedWriter returns a writer to out with a queue of length lines.
func newQueuedWriter(out io.Writer, length int) *queuedWriter {
	w := &queuedWriter{lines: make(chan []byte, length)}
	go func() {
		for line := range w.lines {
			if _, err := out.Write(line); err != nil {
				droppedLines.Inc()
			}
			w.pending.Done()
		}
	}()
	return w
}

// Write implements io.Writer. It drops the line if the queue is full.
func (w *queuedWriter) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Done()
		droppedLines.Inc()
	}
	return len(line), nil
}

// Sync waits until all queued lines are written.
func (w *queuedWriter) Sync() error {
	w.pending.Wait()
	return nil
}

// droppedLines counts log lines that were dropped or could not be written.
var droppedLines = metrics.GetOrCreateCounter("lacewing_log_dropped_lines_total")

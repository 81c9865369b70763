package daemon

import (
	"io"
	"testing"
	"time"
)

// Guards against a program that blocks because the reader of its log has stopped
// reading.
func TestOutputNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	out := newQueuedWriter(writer, 8)
	dropped := droppedLines.Get()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			if _, err := out.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a slow reader blocks the writer")
	}
	if n := droppedLines.Get() - dropped; n < 90 {
		t.Errorf("%d of 100 lines were dropped, want at least 90 with a queue of 8", n)
	}
}

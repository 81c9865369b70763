package daemon

import (
	"io"
	"os"
	"os/exec"
	"sync"
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

// Guards against a program that ends, with all its requests, because the reader of its log has ended.
func TestClosedOutputDoesNotEndTheProcess(t *testing.T) {
	const variable = "LACEWING_TEST_CLOSED_OUTPUT"
	if os.Getenv(variable) != "" {
		log := NewOutputLogger("test", "vm-1")
		for range 3 {
			log.Info("line")
			_ = log.Sync()
		}
		return
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	_ = reader.Close()
	defer func() { _ = writer.Close() }()
	program := exec.Command(os.Args[0], "-test.run=^TestClosedOutputDoesNotEndTheProcess$", "-test.v=false")
	program.Env = append(os.Environ(), variable+"=1")
	program.Stdout = writer
	if err := program.Run(); err != nil {
		t.Error(err)
	}
}

// Guards against a panic at the end of a program whose goroutines still log.
func TestSyncWhileOthersLog(t *testing.T) {
	out := newQueuedWriter(io.Discard, 64)
	end := time.Now().Add(500 * time.Millisecond)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for time.Now().Before(end) {
				_, _ = out.Write([]byte("line\n"))
			}
		})
	}
	for time.Now().Before(end) {
		_ = out.Sync()
	}
	writers.Wait()
}

func TestSyncWaitsForQueuedLines(t *testing.T) {
	reader, writer := io.Pipe()
	out := newQueuedWriter(writer, 8)
	for range 3 {
		_, _ = out.Write([]byte("line\n"))
	}
	read := make(chan []byte)
	go func() {
		content := make([]byte, 3*len("line\n"))
		_, _ = io.ReadFull(reader, content)
		read <- content
	}()
	_ = out.Sync()
	select {
	case content := <-read:
		if string(content) != "line\nline\nline\n" {
			t.Errorf("%q", content)
		}
	case <-time.After(5 * time.Second):
		t.Error("Sync returned before the lines were written")
	}
}

// Guards against a process that outlasts its grace period because nobody reads its output, or
// the disk stands still. Load: a queue with a few lines, and a full one.
func TestSyncDoesNotWaitForAReaderThatStandsStill(t *testing.T) {
	for _, lines := range []int{3, 100} {
		_, writer := io.Pipe() // nobody reads
		out := newQueuedWriter(writer, 8)
		for range lines {
			_, _ = out.Write([]byte("line\n"))
		}
		synced := make(chan error, 1)
		go func() { synced <- out.Sync() }()
		select {
		case err := <-synced:
			if err == nil {
				t.Error("Sync reports lines as written that nobody has read")
			}
		case <-time.After(time.Second):
			t.Errorf("with %d lines, Sync waits for the reader", lines)
		}
	}
}

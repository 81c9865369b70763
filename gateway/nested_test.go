package gateway

import (
	"bytes"
	"compress/flate"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Load: datagrams of 60 KB that expand to 4 MB of nested arrays or maps, in each kind of
// message: in the place of a field, after the last one, and under a name that is none.
func TestDeeplyNestedMessagesAreDropped(t *testing.T) {
	g := fuzzGateway(t)
	const unknownField = "\x81\xa1x" // a map with the key x
	for name, open := range map[string]string{"arrays": "\x91", "maps": "\x81\xa1x"} {
		for fields := range 20 {
			start := "\xdc\x00" + string(rune(fields+1)) + strings.Repeat("\xc0", fields)
			if fields == 0 {
				start = unknownField
			}
			body := compressTightly(t, []byte(start+strings.Repeat(open, (maxMessageBody-100)/len(open))))
			for k := kindAnnouncement; k < kindCount; k++ {
				head, err := encodeBody(&envelope{Kind: k, From: "vm-2", Compressed: true})
				if err != nil {
					t.Fatal(err)
				}
				datagram := append(head, body...)
				if len(datagram) > maxDatagram {
					t.Fatalf("%d bytes", len(datagram))
				}
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				g.mesh.process(datagram, func(from string, k kind, body *msgpack.Decoder) error {
					return g.handleMessage(t.Context(), from, k, body)
				})
				runtime.ReadMemStats(&after)
				if used := after.TotalAlloc - before.TotalAlloc; used > 16<<20 {
					t.Errorf("%s, kind %s, after %d fields: %d MB were allocated", name, kindNames[k], fields, used>>20)
				}
			}
		}
	}
}

// compressTightly compresses a body as far as possible, as no VM does.
func compressTightly(t *testing.T, body []byte) []byte {
	t.Helper()
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = w.Write(body) // a bytes.Buffer accepts everything
	_ = w.Close()
	return compressed.Bytes()
}

// Load: contents of a VM's catalog that expand to 32 MB of nested arrays.
func TestDeeplyNestedContentsAreRejected(t *testing.T) {
	contents := compressTightly(t, []byte("\x81\xa1x"+strings.Repeat("\x91", maxContents-100)))
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(contents) }))
	defer vm.Close()
	if _, err := fetchContents(t.Context(), vm.Client(), strings.TrimPrefix(vm.URL, "http://"), 0, 0); err == nil {
		t.Error("the contents are accepted")
	}
}

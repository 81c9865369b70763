package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

func contentDigestOf(body string) string {
	sum := sha256.Sum256([]byte(body))
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

func TestVerifyingReaderWithholdsLastBlockUntilVerified(t *testing.T) {
	for _, size := range []int{0, 1, verifyBlockBytes - 1, verifyBlockBytes, verifyBlockBytes + 1, 2 * verifyBlockBytes, 3*verifyBlockBytes + 7} {
		body := strings.Repeat("x", size)
		header := http.Header{contentDigestHeader: {contentDigestOf(body)}}
		digest, err := parseContentDigest(header)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(iotest.OneByteReader(digest.verify(strings.NewReader(body))))
		if err != nil || string(got) != body {
			t.Fatalf("body of %d bytes: got %d bytes, error %v", size, len(got), err)
		}
		if size == 0 {
			continue
		}
		got, err = io.ReadAll(digest.verify(strings.NewReader(body[1:] + "y")))
		if err != errDigestMismatch || len(got) >= size {
			t.Fatalf("body of %d bytes, altered: got %d bytes, error %v", size, len(got), err)
		}
		got, err = io.ReadAll(digest.verify(io.MultiReader(strings.NewReader(body[1:]), iotest.ErrReader(io.ErrUnexpectedEOF))))
		if err != io.ErrUnexpectedEOF || len(got) >= size {
			t.Fatalf("body of %d bytes, cut short: got %d bytes, error %v", size, len(got), err)
		}
	}
}

func FuzzContentDigest(f *testing.F) {
	f.Add(contentDigestOf("x"), []byte("x"))
	f.Add("sha-512=:AAAA:, sha-256=:", []byte(""))
	f.Add("md5=:x:,, sha-256", []byte("y"))
	f.Fuzz(func(t *testing.T, value string, body []byte) {
		digest, err := parseContentDigest(http.Header{contentDigestHeader: {value}})
		if err != nil {
			return
		}
		got, err := io.ReadAll(digest.verify(bytes.NewReader(body)))
		if err == nil && !bytes.Equal(got, body) {
			t.Fatalf("body %q was returned as %q", body, got)
		}
		if sum := sha256.Sum256(body); err == nil && digest != nil && digest.sums["sha-256"] != nil && !bytes.Equal(digest.sums["sha-256"], sum[:]) {
			t.Fatal("a body that does not match its digest was returned without an error")
		}
	})
}

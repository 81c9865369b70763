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

func TestVerifiedReaderHoldsTheLastBytesBack(t *testing.T) {
	for _, size := range []int{0, 1, verifyBlock - 1, verifyBlock, verifyBlock + 1, 2 * verifyBlock, 3*verifyBlock + 7} {
		body := strings.Repeat("x", size)
		header := http.Header{contentDigestHeader: {contentDigestOf(body)}}
		digest, err := parseContentDigest(header)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(iotest.OneByteReader(digest.verify(strings.NewReader(body))))
		if err != nil || string(got) != body {
			t.Fatalf("%d bytes: got %d, %v", size, len(got), err)
		}
		if size == 0 {
			continue
		}
		got, err = io.ReadAll(digest.verify(strings.NewReader(body[1:] + "y")))
		if err != errDigest || len(got) >= size {
			t.Fatalf("%d altered bytes: got %d, %v", size, len(got), err)
		}
		got, err = io.ReadAll(digest.verify(io.MultiReader(strings.NewReader(body[1:]), iotest.ErrReader(io.ErrUnexpectedEOF))))
		if err != io.ErrUnexpectedEOF || len(got) >= size {
			t.Fatalf("%d broken bytes: got %d, %v", size, len(got), err)
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
			t.Fatalf("passed %q as %q", body, got)
		}
		if sum := sha256.Sum256(body); err == nil && digest != nil && digest.sums["sha-256"] != nil && !bytes.Equal(digest.sums["sha-256"], sum[:]) {
			t.Fatal("passed a body that does not match")
		}
	})
}

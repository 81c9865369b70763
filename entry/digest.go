package entry

import (
	"bytes"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"hash"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	contentDigestHeader = "Content-Digest" // RFC 9530
	verifyBlock         = 32 << 10         // bytes held back until a digest is known to match
)

// Errors of Content-Digest.
var (
	errDigest       = errors.New("the body does not match its Content-Digest")
	errDigestSyntax = errors.New("the Content-Digest header is malformed")
)

// contentDigest holds the digests that a message announces, of the algorithms
// sha-256 and sha-512. A nil value announces none.
type contentDigest struct {
	sums map[string][]byte // by algorithm
}

var digestSizes = map[string]int{"sha-256": sha256.Size, "sha-512": sha512.Size}

// parseContentDigest reads the dictionary of RFC 9530. Other algorithms are ignored.
func parseContentDigest(header http.Header) (*contentDigest, error) {
	digest := &contentDigest{sums: map[string][]byte{}}
	for member := range strings.SplitSeq(strings.Join(header.Values(contentDigestHeader), ","), ",") {
		member = strings.Trim(member, " \t")
		if member == "" {
			continue
		}
		name, value, _ := strings.Cut(member, "=")
		size, known := digestSizes[name]
		if !known {
			continue
		}
		sum, err := parseByteSequence(value)
		if err != nil || len(sum) != size {
			return nil, errDigestSyntax
		}
		digest.sums[name] = sum
	}
	if len(digest.sums) == 0 {
		return nil, nil
	}
	return digest, nil
}

// parseByteSequence decodes ":base64:" without parameters (RFC 9651, section 4.2.7).
func parseByteSequence(value string) ([]byte, error) {
	if len(value) < 2 || value[0] != ':' || value[len(value)-1] != ':' {
		return nil, errDigestSyntax
	}
	return base64.StdEncoding.DecodeString(value[1 : len(value)-1])
}

// verify returns a reader of body that fails with errDigest in place of its
// last bytes if they do not match. Without digests it returns body.
func (d *contentDigest) verify(body io.Reader) io.Reader {
	if d == nil {
		return body
	}
	v := &verifiedReader{from: body}
	for name, sum := range d.sums {
		check := digestCheck{want: sum, hash: sha256.New()}
		if name == "sha-512" {
			check.hash = sha512.New()
		}
		v.checks = append(v.checks, check)
	}
	return v
}

type digestCheck struct {
	hash hash.Hash
	want []byte
}

// verifiedReader hands out a body one block late, so that the last block
// follows only after the whole body was seen to match.
type verifiedReader struct {
	from   io.Reader
	checks []digestCheck
	blocks [2][]byte // buffers, used in turn
	turn   int
	ready  []byte // may be handed out
	held   []byte // may be the last block
	err    error  // after ready
}

// Read implements io.Reader.
func (v *verifiedReader) Read(p []byte) (int, error) {
	for len(v.ready) == 0 {
		if v.err != nil {
			return 0, v.err
		}
		v.advance()
	}
	n := copy(p, v.ready)
	v.ready = v.ready[n:]
	return n, nil
}

// advance reads one block; the block held before becomes ready. It is called
// when no block is ready, so that the buffer before last is free.
func (v *verifiedReader) advance() {
	if v.blocks[v.turn] == nil {
		v.blocks[v.turn] = make([]byte, verifyBlock)
	}
	block, err := readBlock(v.from, v.blocks[v.turn])
	v.turn = 1 - v.turn
	for _, check := range v.checks {
		_, _ = check.hash.Write(block)
	}
	if err == io.EOF && !v.matched() {
		err = errDigest
	}
	v.ready, v.held, v.err = v.held, block, err
	switch err {
	case nil:
	case io.EOF:
		v.ready = append(bytes.Clone(v.ready), block...)
	default:
		v.ready = nil
	}
}

func (v *verifiedReader) matched() bool {
	for _, check := range v.checks {
		if !bytes.Equal(check.hash.Sum(nil), check.want) {
			return false
		}
	}
	return true
}

// readBlock fills buffer unless from ends or fails first.
func readBlock(from io.Reader, buffer []byte) ([]byte, error) {
	n := 0
	for n < len(buffer) {
		read, err := from.Read(buffer[n:])
		n += read
		if err != nil {
			return buffer[:n], err
		}
	}
	return buffer[:n], nil
}

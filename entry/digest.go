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
	verifyBlockBytes    = 32 << 10         // bytes withheld until the digest is verified
)

// Errors in the Content-Digest header or in the body that it describes.
var (
	errDigestMismatch = errors.New("the body does not match its Content-Digest")
	errDigestSyntax   = errors.New("the Content-Digest header is malformed")
)

// contentDigest holds the sha-256 and sha-512 digests from the Content-Digest header of
// a message. It is nil if there are none.
type contentDigest struct {
	sums map[string][]byte // by the name of the algorithm
}

var digestSizes = map[string]int{"sha-256": sha256.Size, "sha-512": sha512.Size}

// parseContentDigest parses the Content-Digest header (RFC 9530). Algorithms other than
// sha-256 and sha-512 are ignored.
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

// verify returns a reader of body. If the body does not match the digests, the reader
// returns errDigestMismatch instead of the last bytes. If d is nil, it returns body.
func (d *contentDigest) verify(body io.Reader) io.Reader {
	if d == nil {
		return body
	}
	v := &verifyingReader{source: body}
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

// verifyingReader returns a body with a delay of one block, so that the last block is
// returned only after the digests of the complete body were verified.
type verifyingReader struct {
	source    io.Reader
	checks    []digestCheck
	blocks    [2][]byte // buffers, used alternately
	nextBlock int
	ready     []byte // can be returned
	held      []byte // may be the last block
	err       error  // returned after ready
}

// Read implements io.Reader.
func (v *verifyingReader) Read(p []byte) (int, error) {
	for len(v.ready) == 0 {
		if v.err != nil {
			return 0, v.err
		}
		v.readNext()
	}
	n := copy(p, v.ready)
	v.ready = v.ready[n:]
	return n, nil
}

// readNext reads one block into held; the block previously in held becomes ready. It is
// called only when ready is empty, so the other buffer is free.
func (v *verifyingReader) readNext() {
	if v.blocks[v.nextBlock] == nil {
		v.blocks[v.nextBlock] = make([]byte, verifyBlockBytes)
	}
	block, err := readBlock(v.source, v.blocks[v.nextBlock])
	v.nextBlock = 1 - v.nextBlock
	for _, check := range v.checks {
		_, _ = check.hash.Write(block)
	}
	if err == io.EOF && !v.digestsMatch() {
		err = errDigestMismatch
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

func (v *verifyingReader) digestsMatch() bool {
	for _, check := range v.checks {
		if !bytes.Equal(check.hash.Sum(nil), check.want) {
			return false
		}
	}
	return true
}

// readBlock reads from the reader until the buffer is full. It returns a shorter block
// only with an error, which is io.EOF at the end.
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

package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"lacewingmount.dev/entry"
	"lacewingmount.dev/keys"
)

const (
	markHeader           = "X-Standin-Mark"
	digestHeader         = "Content-Digest"
	idempotencyKeyHeader = "Idempotency-Key"
)

// call is one request as it is sent.
type call struct {
	mix     *Mix
	address string
	mark    string
	key     string // Idempotency-Key
	body    []byte
}

func newCall(mix *Mix, address string, random *rand.Rand) call {
	c := call{mix: mix, address: address, mark: fmt.Sprintf("%016x", random.Uint64())}
	if mix.Protected {
		c.key = newUUIDv7(random)
	}
	if mix.Upload > 0 {
		c.body = bytes.Repeat([]byte("u"), mix.Upload)
	}
	return c
}

// newUUIDv7 returns a key with the present time and seeded random bits (RFC 9562).
func newUUIDv7(random *rand.Rand) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[0:8], uint64(time.Now().UnixMilli())<<16|random.Uint64()&0x0fff|0x7000)
	binary.BigEndian.PutUint64(id[8:16], random.Uint64()&(1<<62-1)|1<<63)
	return id.String()
}

func (c call) through(address string) call {
	c.address = address
	return c
}

// verdict classifies an answer.
type verdict string

const (
	verdictWhole   verdict = "whole"   // the caller's own answer, complete
	verdictRefused verdict = "refused" // by the entry, with an outcome
	verdictBackend verdict = "backend" // an error of the backend server, delivered as it was
	verdictBroken  verdict = "broken"  // visibly broken off or no answer
	verdictWrong   verdict = "wrong"   // looks complete but is not the caller's whole answer
)

// result is the end of one call.
type result struct {
	verdict verdict
	outcome string
	status  int
	detail  string
}

func (s *sender) perform(ctx context.Context, c call) result {
	request, err := c.request(ctx)
	if err != nil {
		return result{verdict: verdictBroken, detail: err.Error()}
	}
	answer, err := s.client.Do(request)
	if err != nil {
		return result{verdict: verdictBroken, detail: err.Error()}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return result{verdict: verdictBroken, status: answer.StatusCode, detail: err.Error()}
	}
	return c.judge(answer, body)
}

func (c call) request(ctx context.Context) (*http.Request, error) {
	url := fmt.Sprintf("http://%s%s?size=%d", c.address, c.mix.Path, c.mix.Size)
	request, err := http.NewRequestWithContext(ctx, c.mix.Method, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(markHeader, c.mark)
	if c.mix.Key != "" {
		request.Header.Set(keys.Header, c.mix.Key)
	}
	if c.key != "" {
		request.Header.Set(idempotencyKeyHeader, c.key)
	}
	return request, nil
}

func (c call) judge(answer *http.Response, body []byte) result {
	judged := result{status: answer.StatusCode, outcome: answer.Header.Get(entry.OutcomeHeader)}
	switch {
	case judged.outcome == string(entry.OutcomeNotRun) || judged.outcome == string(entry.OutcomeUnknown):
		judged.verdict = verdictRefused
		judged.detail = reasonOf(body)
	case answer.StatusCode >= http.StatusBadRequest:
		judged.verdict = verdictBackend
	case c.own(answer, body):
		judged.verdict = verdictWhole
	default:
		judged.verdict = verdictWrong
	}
	return judged
}

// own reports whether the body is whole and belongs to this call.
func (c call) own(answer *http.Response, body []byte) bool {
	if c.mix.Method == http.MethodHead {
		return len(body) == 0
	}
	if !strings.HasPrefix(string(body), c.mark+" ") || len(body) < c.mix.Size {
		return false
	}
	if answer.Header.Get(entry.OutcomeHeader) == string(entry.OutcomeReplayed) {
		return true // kept answers carry no digest
	}
	if c.mix.Upload > 0 && !strings.Contains(string(body), fmt.Sprintf("upload=%x\n", sha256.Sum256(c.body))) {
		return false
	}
	sum := sha256.Sum256(body)
	return answer.Header.Get(digestHeader) == "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":"
}

// reasonOf returns the reason in a refusal's problem document.
func reasonOf(body []byte) string {
	var problem struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &problem) != nil {
		return "unreadable"
	}
	return problem.Reason
}

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

// call is one request to be sent.
type call struct {
	mix     *Mix
	address string
	mark    string // identifies the call in the response
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

// newUUIDv7 returns a UUIDv7 (RFC 9562) of the current time and seeded random bits.
func newUUIDv7(random *rand.Rand) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[0:8], uint64(time.Now().UnixMilli())<<16|random.Uint64()&0x0fff|0x7000)
	binary.BigEndian.PutUint64(id[8:16], random.Uint64()&(1<<62-1)|1<<63)
	return id.String()
}

// through returns a copy of the call that is sent to another address.
func (c call) through(address string) call {
	c.address = address
	return c
}

// verdict classifies the response to a call.
type verdict string

const (
	verdictWhole   verdict = "whole"   // complete, and the response to this call
	verdictRefused verdict = "refused" // refused by the entry, which states the outcome
	verdictBackend verdict = "backend" // response of the backend server with status 400 or above
	verdictBroken  verdict = "broken"  // no response, or one that is recognizably incomplete
	verdictWrong   verdict = "wrong"   // appears complete, but isn't the complete response to this call
)

// callResult is the result of one call.
type callResult struct {
	verdict verdict
	outcome string // value of entry.OutcomeHeader
	status  int    // HTTP status; 0 without a response
	detail  string // error, or reason of a refusal
}

// send sends the call and classifies the response.
func (s *sender) send(ctx context.Context, c call) callResult {
	request, err := c.request(ctx)
	if err != nil {
		return callResult{verdict: verdictBroken, detail: err.Error()}
	}
	response, err := s.client.Do(request)
	if err != nil {
		return callResult{verdict: verdictBroken, detail: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{verdict: verdictBroken, status: response.StatusCode, detail: err.Error()}
	}
	return c.classify(response, body)
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

func (c call) classify(response *http.Response, body []byte) callResult {
	classified := callResult{status: response.StatusCode, outcome: response.Header.Get(entry.OutcomeHeader)}
	switch {
	case classified.outcome == string(entry.OutcomeNotRun) || classified.outcome == string(entry.OutcomeUnknown):
		classified.verdict = verdictRefused
		classified.detail = refusalReason(body)
	case response.StatusCode >= http.StatusBadRequest:
		classified.verdict = verdictBackend
	case c.isComplete(response, body):
		classified.verdict = verdictWhole
	default:
		classified.verdict = verdictWrong
	}
	return classified
}

// isComplete reports whether the body is complete and belongs to this call.
func (c call) isComplete(response *http.Response, body []byte) bool {
	if c.mix.Method == http.MethodHead {
		return len(body) == 0
	}
	if !strings.HasPrefix(string(body), c.mark+" ") || len(body) < c.mix.Size {
		return false
	}
	if response.Header.Get(entry.OutcomeHeader) == string(entry.OutcomeReplayed) {
		return true // stored responses have no digest
	}
	if c.mix.Upload > 0 && !strings.Contains(string(body), fmt.Sprintf("upload=%x\n", sha256.Sum256(c.body))) {
		return false
	}
	sum := sha256.Sum256(body)
	return response.Header.Get(digestHeader) == "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":"
}

// refusalReason returns the reason in the problem document of a refusal, or
// "unreadable" if the body is not valid JSON.
func refusalReason(body []byte) string {
	var problem struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &problem) != nil {
		return "unreadable"
	}
	return problem.Reason
}

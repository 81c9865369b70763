package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

const (
	memoryMB     = 136     // of the smallest VMs; bound of resident memory
	maxFDs       = 2870    // of the smallest VMs
	fewFDs       = 700     // in the test of connections
	maxBody      = 8 << 20 // in the test's configuration
	largestBody  = 64 << 20
	largeAnswer  = 4 << 20
	uploaders    = 45
	overLimit    = 45
	slowReaders  = 40
	idleCallers  = 1000
	readyTimeout = 20 * time.Second
	answerTime   = 20 * time.Second // for an ordinary request, refusals and retries included
)

var requests atomic.Int64

// gatewayRoute returns the route of the crowd's client account to the service that
// answers with small or large bodies.
func gatewayRoute(method, path, key string) route {
	return route{method: method, path: path, host: platformtest.Host, headers: func() string {
		return fmt.Sprintf("Request-Id: crowd-%d\r\nDeadline-Ms: 60000\r\nKey: %s\r\n", requests.Add(1), key)
	}}
}

var (
	upload = gatewayRoute("POST", "/upload/a", "crowd")
	large  = gatewayRoute("GET", "/large/a", "crowd")
)

// gatewayUnderTest is one lacewing-gateway process with a store and backend servers.
type gatewayUnderTest struct {
	*process
	callers string
}

func startGateway(t *testing.T, descriptors, maxBody int) *gatewayUnderTest {
	t.Helper()
	store := platformtest.NewStore()
	standin := httptest.NewServer(store.Handler())
	t.Cleanup(standin.Close)
	for _, service := range []string{"svc", "large"} {
		for i := range 2 {
			s := platformtest.NewServer(t, fmt.Sprintf("%s-%d", service, i))
			s.Slots = slowReaders
			if service == "large" {
				s.SetWork(func(string) platformtest.Work { return platformtest.Work{BodySize: largeAnswer} })
			}
			store.Put(platform.ServersPrefix+s.ID, s.Record(service, "ready", 1))
		}
	}
	store.Put(platform.ConfigKey, platformtest.Configuration{
		Version: 1, MaxBody: maxBody,
		Routes: []platformtest.Route{
			{Name: "upload", Prefix: "/upload/", Kind: "upload", Timeout: "60s", Service: "svc", MaxAttempts: 2},
			{Name: "large", Prefix: "/large/", Kind: "safe", Timeout: "60s", Service: "large", MaxAttempts: 2},
		},
		Accounts: []platformtest.Account{{Name: "crowd", Keys: []string{"crowd"}}, {Name: "ordinary", Keys: []string{"ordinary"}}},
	}.Encode())
	ports := platformtest.FreePorts(t, 3)
	text := platformtest.VM{
		Name: "vm-1", IP: "127.0.0.1", CallerPort: ports[0], ReadyPort: ports[1], FleetPort: ports[2], StoreAddress: strings.TrimPrefix(standin.URL, "http://"),
		Bounds: platformtest.Bounds{StableWindow: 3 * time.Second, Drain: 2 * time.Second, ConfigApply: 2 * time.Second, KeyWithdrawal: 5 * time.Second, GracePeriod: 6 * time.Second, RetryAllowance: 64, QuotaAllowance: 20},
	}.Settings() + fmt.Sprintf("self.limits.memoryMb=%d\nself.limits.maxFds=%d\n", memoryMB, descriptors)
	settings := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	g := &gatewayUnderTest{callers: net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[0]))}
	g.process = start(t, "lacewing-gateway", []string{platform.SettingsVariable + "=" + settings})
	awaitOK(t, fmt.Sprintf("http://127.0.0.1:%d%s", ports[1], platform.ReadyPath))
	g.answersOrdinary(t)
	return g
}

// awaitOK waits until the URL answers with status 200.
func awaitOK(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(samplePeriod) {
		if response, err := client.Get(url); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	t.Fatalf("%s did not answer 200 in time", url)
}

// answersOrdinary checks that an ordinary request of another account is answered. Refusals
// are repeated as a caller would.
func (g *gatewayUnderTest) answersOrdinary(t *testing.T) {
	t.Helper()
	last := ""
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c, err := platformtest.Dial(g.callers, answerTime)
		if err != nil {
			last = err.Error()
			continue
		}
		reply, err := c.Do(platformtest.Call{
			ID: fmt.Sprintf("ordinary-%d", requests.Add(1)), Method: "POST", Path: "/upload/b", Key: "ordinary", Body: strings.Repeat("b", 300), Deadline: 5 * time.Second,
		})
		c.Close()
		if err == nil && reply.Status == http.StatusOK {
			return
		}
		last = fmt.Sprint(reply.Status, " ", err)
	}
	t.Errorf("an ordinary request was not answered; last try: %s", last)
}

// playGateway plays the crowds against a new gateway and checks it.
func playGateway(t *testing.T, descriptors int, crowds ...crowd) {
	t.Helper()
	g := startGateway(t, descriptors, maxBody)
	play(t, g.callers, crowds...)
	g.answersOrdinary(t)
	g.check(memoryMB, descriptors)
}

// TestGatewayDeclaredBodies guards against bodies of legal size and declared length that
// stop short of their end and together exceed the memory of the VM.
func TestGatewayDeclaredBodies(t *testing.T) {
	playGateway(t, maxFDs, crowd{uploaders, upload.declared(maxBody)})
}

// TestGatewayLargeChunks guards against the same in large chunks.
func TestGatewayLargeChunks(t *testing.T) {
	playGateway(t, maxFDs, crowd{uploaders, upload.chunked(maxBody, 1<<20)})
}

// TestGatewaySmallChunks guards against the same in very small chunks.
func TestGatewaySmallChunks(t *testing.T) {
	playGateway(t, maxFDs, crowd{uploaders, upload.chunked(maxBody, 4)})
}

// TestGatewayBodiesOverLimit guards against bodies far over the limit, announced or just
// sent.
func TestGatewayBodiesOverLimit(t *testing.T) {
	playGateway(t, maxFDs, crowd{overLimit / 3, upload.announced(10*maxBody, 10*maxBody)}, crowd{overLimit, upload.chunked(10*maxBody, 64<<10)})
}

// TestGatewaySlowReaders guards against slow readers of large responses, mixed with
// unfinished bodies and heads.
func TestGatewaySlowReaders(t *testing.T) {
	playGateway(t, maxFDs, crowd{slowReaders, large.slowReader}, crowd{uploaders / 3, upload.declared(maxBody)},
		crowd{uploaders / 3, upload.chunked(maxBody, 64<<10)}, crowd{2 * uploaders, large.longHead(60 << 10)})
}

// TestGatewayLargestBody guards against limits that refuse what the configuration allows: one
// body of 64 MB, whole and in chunks, while nothing else is held.
func TestGatewayLargestBody(t *testing.T) {
	g := startGateway(t, maxFDs, largestBody)
	for _, body := range []struct {
		send caller
		last string
	}{
		{upload.declared(largestBody), "x"},
		{upload.chunked(largestBody, 64<<10), "0\r\n\r\n"},
	} {
		conn, err := net.DialTimeout("tcp", g.callers, answerTime)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(answerTime))
		if err := body.send(conn); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, body.last); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%+v, %v", response, err)
		}
		_ = conn.Close()
	}
	g.answersOrdinary(t)
	g.check(memoryMB, maxFDs)
}

// TestGatewayConnections guards against more connections than the process may have
// descriptors.
func TestGatewayConnections(t *testing.T) {
	playGateway(t, fewFDs, crowd{idleCallers, idle})
}

// TestGatewayStalledRequests guards against unfinished small requests that use up connections
// and requests in progress.
func TestGatewayStalledRequests(t *testing.T) {
	playGateway(t, fewFDs, crowd{idleCallers, upload.declared(300)})
}

// TestGatewayRefusedBodies guards against unfinished bodies of requests without a valid key,
// which are refused and whose rest is read for a moment.
func TestGatewayRefusedBodies(t *testing.T) {
	playGateway(t, fewFDs, crowd{idleCallers, gatewayRoute("POST", "/upload/a", "unknown").declared(256 << 10)})
}

package agent

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/config"
	"lacewingmount.dev/errs"
	"lacewingmount.dev/keys"
	"lacewingmount.dev/metastore"
	"lacewingmount.dev/wire"
)

// convergenceBound is the documented bound for the distribution of configuration and
// withdrawals.
const convergenceBound = 5 * time.Second

// fleet runs agents in virtual time, connected by pipes instead of sockets.
type fleet struct {
	t         *testing.T
	operator  keys.Operator
	memory    *metastore.Memory
	mu        sync.Mutex
	agents    []*Agent
	listeners map[string]*pipeListener
	conns     []net.Conn
	cut       func(from, to string) bool // messages from one VM to another are lost
	cutStore  func(vm string) bool       // the VM cannot reach the store
	calls     map[string][]time.Time     // times of calls to the store, by kind
}

// withFleet runs test in virtual time, with n agents that have adopted revision 1.
func withFleet(t *testing.T, n int, test func(*fleet)) {
	operator, err := keys.NewOperator("test-operator")
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, operator: operator, memory: metastore.NewMemory(time.Now), listeners: map[string]*pipeListener{},
			cut: func(string, string) bool { return false }, cutStore: func(string) bool { return false },
			calls: map[string][]time.Time{},
		}
		var vms []metastore.VM
		for i := range n {
			vms = append(vms, metastore.VM{Name: vmName(i), Zone: "a", Address: vmName(i)})
		}
		f.memory.SetVMs(vms)
		f.apply(1)
		for i := range n {
			f.start(i)
		}
		defer f.stop()
		time.Sleep(convergenceBound)
		f.waitUntil(func(a *Agent) bool { return f.revision(a) == 1 && a.authorityRemaining() > 0 })
		test(f)
	})
}

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i) }

func (f *fleet) start(i int) *Agent {
	name := vmName(i)
	agent := New(Settings{VM: name, Zone: "a", Listen: name}, zap.NewNop(), &fleetStore{f, name}, &fleetStore{f, name})
	agent.peers.dial = func(ctx context.Context, address string) (net.Conn, error) { return f.dial(ctx, name, address) }
	listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	f.mu.Lock()
	f.listeners[name] = listener
	if i < len(f.agents) {
		f.agents[i] = agent
	} else {
		f.agents = append(f.agents, agent)
	}
	f.mu.Unlock()
	agent.start(listener)
	return agent
}

func (f *fleet) kill(i int) {
	f.agents[i].cancel()
	_ = f.listeners[vmName(i)].Close()
}

// startIsolated restarts a VM that reaches neither its peers nor the store.
func (f *fleet) startIsolated(i int) *Agent {
	f.setCuts(func(from, to string) bool { return from == vmName(i) || to == vmName(i) }, func(vm string) bool { return vm == vmName(i) })
	f.kill(i)
	return f.start(i)
}

// adoptFirst makes the VM adopt revision 1.
func (f *fleet) adoptFirst(a *Agent) {
	f.t.Helper()
	none := func(context.Context, []string) (map[string][]byte, error) { return nil, nil }
	if err := a.adopt(f.t.Context(), f.document(1).Root, none, "test"); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) stop() {
	for i := range f.agents {
		f.kill(i)
	}
	f.mu.Lock()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
	f.mu.Unlock()
	synctest.Wait()
}

// document returns a document of the given revision with one section; the rate of its
// client account is the revision.
func (f *fleet) document(revision uint64) config.Stored {
	section := config.Section{
		Partner: "test", Operator: f.operator.Public(), Revision: revision,
		Services: []config.Service{{Name: "shelf", Floor: 1, Slots: 6, Connections: 400, Concern: config.ConcernDetectionTime,
			Servers: []config.BackendServer{{Name: "shelf-1", Address: "10.0.0.1:9000", Zone: "a"}}}},
		Routes:   []config.Route{{Path: "/shelf", Methods: []string{"GET"}, Service: "shelf", Timeout: time.Second}},
		Accounts: []config.ClientAccount{{Name: "reader", Rate: float64(revision), Burst: 1}},
		Keys:     []config.Key{{Account: "reader", Hash: "key-hash"}},
	}
	if err := section.SignWith(f.operator); err != nil {
		f.t.Fatal(err)
	}
	document := config.Document{Revision: revision, Sections: []config.Section{section}, Changes: []config.Change{{Revision: revision, ID: fmt.Sprint("change-", revision)}}}
	stored, err := document.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	return stored
}

// apply writes the given revision to the store.
func (f *fleet) apply(revision uint64) {
	current, _ := f.memory.Get(context.Background(), config.RootKey)
	if _, err := f.memory.CompareAndSwap(context.Background(), config.RootKey, f.document(revision).Root, current.Version, 0); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) revision(a *Agent) uint64 {
	document, _ := a.state.configuration()
	if document == nil {
		return 0
	}
	return document.Revision
}

// vmsFailing returns the VMs for which the condition does not hold.
func (f *fleet) vmsFailing(condition func(*Agent) bool) []string {
	var names []string
	for _, agent := range f.agents {
		if !condition(agent) {
			names = append(names, agent.settings.VM)
		}
	}
	return names
}

func (f *fleet) waitUntil(condition func(*Agent) bool) {
	f.t.Helper()
	for range 100 {
		if len(f.vmsFailing(condition)) == 0 {
			return
		}
		time.Sleep(convergenceBound / 50)
	}
	f.t.Fatalf("the condition does not hold on %v", f.vmsFailing(condition))
}

// dial connects two VMs unless messages in either direction are lost.
func (f *fleet) dial(ctx context.Context, from, to string) (net.Conn, error) {
	f.mu.Lock()
	listener, cut := f.listeners[to], f.cut(from, to) || f.cut(to, from)
	f.mu.Unlock()
	if cut || listener == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	select {
	case listener.accepted <- &fleetConn{Conn: far, fleet: f, from: to, to: from}:
	case <-listener.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	f.mu.Lock()
	f.conns = append(f.conns, near, far)
	f.mu.Unlock()
	return &fleetConn{Conn: near, fleet: f, from: from, to: to}, nil
}

// fleetConn drops what is written while messages in its direction are lost.
type fleetConn struct {
	net.Conn
	fleet    *fleet
	from, to string
}

func (c *fleetConn) Write(p []byte) (int, error) {
	c.fleet.mu.Lock()
	cut := c.fleet.cut(c.from, c.to)
	c.fleet.mu.Unlock()
	if cut {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// fleetStore is one VM's connection to the platform.
type fleetStore struct {
	fleet *fleet
	vm    string
}

// recordCall records a call and fails if the VM cannot reach the store.
func (s *fleetStore) recordCall(kind string) error {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.calls[kind] = append(s.fleet.calls[kind], time.Now())
	if s.fleet.cutStore(s.vm) {
		return errs.New(errs.Unavailable, "the store is unreachable", "wait")
	}
	return nil
}

func (s *fleetStore) Get(ctx context.Context, key string) (metastore.Entry, error) {
	if err := s.recordCall("get " + key); err != nil {
		return metastore.Entry{}, err
	}
	return s.fleet.memory.Get(ctx, key)
}

func (s *fleetStore) List(ctx context.Context, prefix string) ([]metastore.Entry, error) {
	if err := s.recordCall("list"); err != nil {
		return nil, err
	}
	return s.fleet.memory.List(ctx, prefix)
}

func (s *fleetStore) CompareAndSwap(ctx context.Context, key string, value []byte, expect metastore.Version, lease metastore.LeaseID) (metastore.Version, error) {
	if err := s.recordCall("swap " + key); err != nil {
		return 0, err
	}
	return s.fleet.memory.CompareAndSwap(ctx, key, value, expect, lease)
}

func (s *fleetStore) Delete(ctx context.Context, key string, expect metastore.Version) error {
	if err := s.recordCall("delete"); err != nil {
		return err
	}
	return s.fleet.memory.Delete(ctx, key, expect)
}

func (s *fleetStore) Watch(ctx context.Context, prefix string, after metastore.Version, wait time.Duration) ([]metastore.Entry, error) {
	if err := s.recordCall("watch"); err != nil {
		return nil, err
	}
	entries, err := s.fleet.memory.Watch(ctx, prefix, after, wait)
	if lost := s.recordCall("watch answer"); lost != nil {
		return nil, lost
	}
	return entries, err
}

func (s *fleetStore) GrantLease(ctx context.Context, ttl time.Duration) (metastore.LeaseID, error) {
	if err := s.recordCall("grant lease"); err != nil {
		return 0, err
	}
	return s.fleet.memory.GrantLease(ctx, ttl)
}

func (s *fleetStore) RenewLease(ctx context.Context, lease metastore.LeaseID) error {
	if err := s.recordCall("renew lease"); err != nil {
		return err
	}
	return s.fleet.memory.RenewLease(ctx, lease)
}

func (s *fleetStore) VMs(ctx context.Context) ([]metastore.VM, error) {
	if err := s.recordCall("vms"); err != nil {
		return nil, err
	}
	return s.fleet.memory.VMs(ctx)
}

// withdrawKey sends the withdrawal of a key to one VM.
func (f *fleet) withdrawKey(i int, withdrawal config.Withdrawal) {
	f.t.Helper()
	if _, err := f.agents[i].withdraw(context.Background(), wire.Withdrawals{Withdrawals: []config.Withdrawal{withdrawal}}); err != nil {
		f.t.Fatal(err)
	}
}

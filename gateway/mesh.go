package gateway

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"lacewingmount.dev/errs"
)

const (
	maxDatagram       = 60 << 10 // bytes; an IPv4 datagram holds 65,507
	minCompressedBody = 600      // bytes; shorter bodies are sent uncompressed, as they would shrink little
	maxMessageBody    = 4 << 20  // bytes after decompression; a datagram of zeros would expand to 60 MB
)

// envelope is the header of each datagram. It is encoded as an array.
type envelope struct {
	Kind       kind
	From       string // name of the sending VM
	Compressed bool   // whether the body is compressed
}

// mesh sends and receives datagrams between the VMs over UDP.
type mesh struct {
	conn *net.UDPConn
	self string
	log  *zap.Logger
}

func openMesh(address, self string, log *zap.Logger) (*mesh, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "address "+address+" is not valid", "correct the VM's address in the settings")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "cannot listen on "+address, "stop the process that uses the port")
	}
	return &mesh{conn: conn, self: self, log: log}, nil
}

// send encodes a message and sends it. It does not report losses; whoever needs a
// reply sends the message again.
func (m *mesh) send(address string, k kind, body any) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		m.log.Warn("message not sent", zap.String("to", address), zap.Error(err))
		return
	}
	content, err := encode(m.self, k, body)
	if err != nil {
		m.log.Warn("message not sent", zap.String("to", address), zap.Error(err))
		return
	}
	if len(content) > maxDatagram {
		meshFailures.Inc()
		m.log.Warn("message not sent: it is longer than a datagram; the receiver fetches the contents instead", zap.String("kind", kindNames[k]), zap.Int("bytes", len(content)))
		return
	}
	if _, err := m.conn.WriteToUDPAddrPort(content, target); err != nil {
		meshFailures.Inc()
		return
	}
	meshSent[k].Add(len(content))
}

func encode(from string, k kind, body any) ([]byte, error) {
	content, err := encodeBody(body)
	if err != nil {
		return nil, err
	}
	compressed := len(content) >= minCompressedBody
	if compressed {
		if content, err = compress(content); err != nil {
			return nil, err
		}
	}
	head, err := encodeBody(&envelope{Kind: k, From: from, Compressed: compressed})
	return append(head, content...), err
}

func encodeBody(body any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(body)
	return buffer.Bytes(), err
}

func compress(content []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(content); err != nil {
		return nil, err
	}
	err = writer.Close()
	return buffer.Bytes(), err
}

// decode returns the envelope of a datagram and a decoder of its body.
func decode(datagram []byte) (envelope, *msgpack.Decoder, error) {
	reader := bytes.NewReader(datagram)
	var head envelope
	if err := newDecoder(reader).Decode(&head); err != nil {
		return head, nil, err
	}
	if head.Compressed {
		return head, newDecoder(io.LimitReader(flate.NewReader(reader), maxMessageBody)), nil
	}
	return head, newDecoder(reader), nil
}

// newDecoder returns a decoder of what other VMs send. It rejects unknown fields, because
// package msgpack skips their values recursively: one that is nested deeply enough
// overflows the stack, which ends the process.
func newDecoder(reader io.Reader) *msgpack.Decoder {
	decoder := msgpack.NewDecoder(reader)
	decoder.DisallowUnknownFields(true)
	return decoder
}

// receive passes each datagram of another VM to handle until ctx ends.
func (m *mesh) receive(ctx context.Context, handle func(from string, k kind, body *msgpack.Decoder) error) {
	context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	buffer := make([]byte, maxDatagram+1)
	for ctx.Err() == nil {
		n, _, err := m.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				meshFailures.Inc()
			}
			continue
		}
		meshReceived.Add(n)
		m.process(buffer[:n], handle)
	}
}

// process passes one datagram to handle. An error, or a panic of the decoder or of handle,
// ends the processing of this message only.
func (m *mesh) process(datagram []byte, handle func(from string, k kind, body *msgpack.Decoder) error) {
	var head envelope
	defer func() {
		if cause := recover(); cause != nil {
			meshPanics.Inc()
			m.log.Error("message caused a panic and was dropped", zap.String("from", head.From), zap.Uint8("kind", uint8(head.Kind)), zap.Any("panic", cause), zap.Stack("stack"))
		}
	}()
	head, body, err := decode(datagram)
	if err == nil && head.From != m.self {
		err = handle(head.From, head.Kind, body)
	}
	if err != nil {
		meshFailures.Inc()
		m.log.Warn("message cannot be decoded", zap.String("from", head.From), zap.Error(err))
	}
}

var (
	meshSent     = newMeshSent()
	meshReceived = metrics.GetOrCreateCounter("lacewing_mesh_received_bytes_total")
	meshFailures = metrics.GetOrCreateCounter("lacewing_mesh_failures_total")
	meshPanics   = metrics.GetOrCreateCounter("lacewing_mesh_panics_total")
)

func newMeshSent() [kindCount]*metrics.Counter {
	var counters [kindCount]*metrics.Counter
	for k, name := range kindNames {
		counters[k] = metrics.GetOrCreateCounter(`lacewing_mesh_sent_bytes_total{kind="` + name + `"}`)
	}
	return counters
}

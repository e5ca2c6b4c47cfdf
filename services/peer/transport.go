package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"github.com/godwithatch/godwithatch/modules/fault"
	"github.com/godwithatch/godwithatch/services/claim"
	"github.com/godwithatch/godwithatch/services/membership"
	"github.com/godwithatch/godwithatch/services/upstream"
)

const (
	// idleTimeout is the time for which a connection without traffic stays open.
	// Keep-alives are disabled. The heartbeats probe every host in turn, so keep-alives
	// would hold a connection to each host open, and that would cost more than everything
	// else. A connection that has stopped working is detected at the next request.
	idleTimeout = 10 * time.Second
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 250 * time.Millisecond
	// redialDelay is the minimum time after a failed attempt to dial a host before the
	// host is dialled again.
	redialDelay = 500 * time.Millisecond
	// silenceTimeout is the time after the start of a request within which a packet must
	// arrive on the connection. Otherwise the connection is closed. The time is far
	// longer than a round trip and far shorter than the time to a request's deadline. A
	// host that is still working on a request has acknowledged the packets of the request
	// by then.
	silenceTimeout = 100 * time.Millisecond
	// maxStreams is the maximum number of requests that a peer may have open on one
	// connection.
	maxStreams = 4096
	// cancelledStreamCode is the error code with which the stream of a cancelled or
	// unreadable request is reset.
	cancelledStreamCode = 1
	// silentConnectionCode is the error code for closing a connection that received no
	// packet within silenceTimeout.
	silentConnectionCode = 2
)

// Counters count the traffic of a Transport.
type Counters struct {
	Requests atomic.Int64
	Served   atomic.Int64
	Failures atomic.Int64
	BytesOut atomic.Int64
	BytesIn  atomic.Int64
}

// Transport sends requests to other hosts and answers requests of other hosts.
type Transport struct {
	credentials *Credentials
	handler     Handler
	quic        *quic.Transport
	listener    *quic.Listener
	config      *quic.Config
	counters    Counters
	ctx         context.Context
	cancel      context.CancelFunc

	mu    sync.Mutex
	conns map[string]*hostConn
}

// hostConn is the connection to one host. Its mutex lets one request dial while other
// requests to the host wait for the connection.
type hostConn struct {
	mu           sync.Mutex
	conn         atomic.Pointer[quic.Conn]
	dialFailedAt time.Time
}

// Listen binds a UDP address and returns a Transport that can send requests. It answers
// requests of other hosts once Serve runs.
func Listen(address string, credentials *Credentials) (*Transport, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "%q is not a UDP address", address)
	}
	udpConn, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "cannot listen on UDP %s", address)
	}
	t := &Transport{
		credentials: credentials,
		quic:        &quic.Transport{Conn: udpConn},
		config: &quic.Config{
			MaxIdleTimeout:       idleTimeout,
			HandshakeIdleTimeout: time.Second,
			MaxIncomingStreams:   maxStreams,
		},
		conns: map[string]*hostConn{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.listener, err = t.quic.Listen(credentials.serverConfig(), t.config)
	if err != nil {
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "cannot start the QUIC listener on %s", address)
	}
	return t, nil
}

// Counters returns the counters of the transport.
func (t *Transport) Counters() *Counters { return &t.counters }

// Close ends Serve and closes the listener, all connections and the UDP socket.
func (t *Transport) Close() error {
	t.cancel()
	err := t.listener.Close()
	return errors.Join(err, t.quic.Close(), t.quic.Conn.Close())
}

// Serve passes requests of other hosts to the handler until Close is called.
func (t *Transport) Serve(handler Handler) {
	t.handler = handler
	for {
		conn, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		go t.serveConn(conn)
	}
}

func (t *Transport) serveConn(conn *quic.Conn) {
	from := peerID(conn)
	for {
		stream, err := conn.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		go t.serveStream(conn.Context(), from, stream)
	}
}

// peerID returns the host ID of the peer: the common name of its certificate.
func peerID(conn *quic.Conn) string {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return ""
	}
	return certificates[0].Subject.CommonName
}

func (t *Transport) serveStream(ctx context.Context, from string, stream *quic.Stream) {
	defer stream.Close()
	var req request
	if err := decodeMessage(&countingReader{stream, &t.counters.BytesIn}, &req); err != nil {
		stream.CancelWrite(cancelledStreamCode)
		return
	}
	t.counters.Served.Add(1)
	// The context of the stream is cancelled when the peer cancels the request.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopCancel := context.AfterFunc(stream.Context(), cancel)
	defer stopCancel()
	body, err := cbor.Marshal(t.dispatch(ctx, from, &req))
	if err != nil {
		stream.CancelWrite(cancelledStreamCode)
		return
	}
	t.counters.BytesOut.Add(int64(len(body)))
	_, _ = stream.Write(body)
}

func (t *Transport) dispatch(ctx context.Context, from string, req *request) *response {
	switch {
	case req.Kind == KindExchange && req.Exchange != nil:
		return t.dispatchExchange(ctx, from, req.Exchange)
	case req.Kind == KindProbe && req.Target != nil:
		return faultResponse(t.handler.OnProbe(ctx, *req.Target))
	case req.Kind == KindForward && req.Forward != nil:
		return t.dispatchForward(ctx, req.Forward)
	case req.Kind == KindConfiguration:
		return &response{Document: t.handler.OnConfiguration()}
	case req.Kind == KindKnowledge:
		message := t.handler.OnKnowledge()
		return &response{Exchange: &message}
	case req.Kind == KindResult:
		document, err := t.handler.OnResult(ctx, req.Nonce)
		if err != nil {
			return faultResponse(err)
		}
		return &response{Document: document}
	case req.Kind == KindClaim && req.Claim != nil:
		reply, err := t.handler.OnClaim(ctx, *req.Claim)
		if err != nil {
			return faultResponse(err)
		}
		return &response{Claim: &reply}
	default:
		return faultResponse(fault.New(fault.MalformedBody, fault.NotRun, "request kind %d has no body", req.Kind))
	}
}

func (t *Transport) dispatchExchange(ctx context.Context, from string, message *Exchange) *response {
	if from != message.From.ID {
		return faultResponse(fault.New(fault.PeerFailed, fault.NotRun, "host %q speaks for %q", from, message.From.ID))
	}
	reply := t.handler.OnExchange(ctx, from, *message)
	return &response{Exchange: &reply}
}

func (t *Transport) dispatchForward(ctx context.Context, f *forward) *response {
	call := f.call()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline())
	defer cancel()
	answer, err := t.handler.OnForward(ctx, f.Server, call)
	if err != nil {
		return faultResponse(err)
	}
	holding := answer.Holding()
	return &response{
		Attempt: call.Attempt(),
		Holding: &holding,
		Results: answer.Results(),
		Digest:  upstream.Digest(answer.Results()),
	}
}

func faultResponse(err error) *response {
	if err == nil {
		return &response{}
	}
	return &response{Fault: encodeFault(err)}
}

func asRefusal(err error) (*upstream.Refusal, bool) {
	var refusal *upstream.Refusal
	return refusal, errors.As(err, &refusal)
}

// Exchange sends a gossip message to a host and returns the host's own message.
func (t *Transport) Exchange(ctx context.Context, to membership.Member, message Exchange) (Exchange, error) {
	resp, err := t.sendRequest(ctx, to, &request{Kind: KindExchange, Exchange: &message})
	if err != nil || resp.Exchange == nil {
		return Exchange{}, err
	}
	return *resp.Exchange, nil
}

// Probe asks the host via to probe target.
func (t *Transport) Probe(ctx context.Context, via, target membership.Member) error {
	_, err := t.sendRequest(ctx, via, &request{Kind: KindProbe, Target: &target})
	return err
}

// Forward asks a host to send a call to an upstream server. It returns at the call's
// deadline at the latest.
func (t *Transport) Forward(ctx context.Context, to membership.Member, server string, call upstream.Call) (*upstream.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline())
	defer cancel()
	resp, err := t.sendRequest(ctx, to, &request{Kind: KindForward, Forward: newForward(server, call)})
	if err != nil {
		return nil, err
	}
	return resp.answer(call)
}

// Configuration returns the document with the accepted tables of routes and pools that a
// host uses, or nil if the host has none.
func (t *Transport) Configuration(ctx context.Context, from membership.Member) ([]byte, error) {
	resp, err := t.sendRequest(ctx, from, &request{Kind: KindConfiguration})
	if err != nil {
		return nil, err
	}
	return resp.Document, nil
}

// Knowledge returns a gossip message with all that a host knows about servers and hosts.
func (t *Transport) Knowledge(ctx context.Context, from membership.Member) (Exchange, error) {
	resp, err := t.sendRequest(ctx, from, &request{Kind: KindKnowledge})
	if err != nil || resp.Exchange == nil {
		return Exchange{}, err
	}
	return *resp.Exchange, nil
}

// Result waits for the end of an attempt on another host. The nonce is the one with which
// the attempt claimed an idempotency key. Result returns the encoded result of the
// attempt, or nil if there is none.
func (t *Transport) Result(ctx context.Context, from membership.Member, nonce string) ([]byte, error) {
	resp, err := t.sendRequest(ctx, from, &request{Kind: KindResult, Nonce: nonce})
	if err != nil {
		return nil, err
	}
	return resp.Document, nil
}

// Claim sends a claim request to owner, the host that owns the bucket of the idempotency
// key.
func (t *Transport) Claim(ctx context.Context, owner membership.Member, req claim.Request) (claim.Reply, error) {
	resp, err := t.sendRequest(ctx, owner, &request{Kind: KindClaim, Claim: &req})
	if err != nil {
		return claim.Reply{}, err
	}
	if resp.Claim == nil {
		return claim.Reply{}, fault.New(fault.CorruptReply, fault.Unknown, "host %q sent no claim", owner.ID)
	}
	return *resp.Claim, nil
}

// sendRequest sends a request on a new stream and reads the response. A fault in the
// response is returned as the error.
func (t *Transport) sendRequest(ctx context.Context, to membership.Member, req *request) (*response, error) {
	t.counters.Requests.Add(1)
	body, err := cbor.Marshal(req)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, fault.NotRun, err, "the request cannot be encoded")
	}
	stream, conn, err := t.openStream(ctx, to)
	if err != nil {
		t.counters.Failures.Add(1)
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "host %q cannot be reached", to.ID)
	}
	resp, err := t.roundTrip(ctx, conn, stream, body)
	if err != nil {
		t.counters.Failures.Add(1)
		return nil, fault.Wrap(fault.PeerFailed, fault.Unknown, err, "host %q gave no answer", to.ID)
	}
	if resp.Fault != nil {
		return nil, resp.Fault.decode(to.ID)
	}
	return resp, nil
}

// roundTrip writes a request to its stream and reads the response. It resets the stream
// when ctx ends, and closes the connection if no packet arrives on the connection within
// silenceTimeout.
func (t *Transport) roundTrip(ctx context.Context, conn *quic.Conn, stream *quic.Stream, body []byte) (*response, error) {
	stopCancel := context.AfterFunc(ctx, func() {
		stream.CancelRead(cancelledStreamCode)
		stream.CancelWrite(cancelledStreamCode)
	})
	defer stopCancel()
	packetsBefore := conn.ConnectionStats().PacketsReceived
	silenceTimer := time.AfterFunc(silenceTimeout, func() {
		if conn.ConnectionStats().PacketsReceived == packetsBefore {
			_ = conn.CloseWithError(silentConnectionCode, "")
		}
	})
	defer silenceTimer.Stop()
	t.counters.BytesOut.Add(int64(len(body)))
	if _, err := stream.Write(body); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	var resp response
	if err := decodeMessage(&countingReader{stream, &t.counters.BytesIn}, &resp); err != nil {
		return nil, err
	}
	return &resp, nil
}

// openStream opens a stream to a host. It dials the host if there is no open connection.
func (t *Transport) openStream(ctx context.Context, to membership.Member) (*quic.Stream, *quic.Conn, error) {
	conn, err := t.connect(ctx, to)
	if err != nil {
		return nil, nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	return stream, conn, err
}

// connect returns the open connection to a host, or dials the host if there is none. It
// fails at once if dialling failed less than redialDelay ago.
func (t *Transport) connect(ctx context.Context, to membership.Member) (*quic.Conn, error) {
	c := t.hostConn(to)
	if conn := c.conn.Load(); conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conn.Load(); conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	if since := time.Since(c.dialFailedAt); since < redialDelay {
		return nil, fault.New(fault.PeerFailed, fault.NotRun, "dialling failed %s ago", since)
	}
	conn, err := t.dial(ctx, to)
	if err != nil {
		c.dialFailedAt = time.Now()
		return nil, err
	}
	c.conn.Store(conn)
	return conn, nil
}

// hostConn returns the entry for a host's connection and adds it if there is none.
func (t *Transport) hostConn(to membership.Member) *hostConn {
	key := to.ID + " " + to.Address
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns[key]
	if c == nil {
		c = &hostConn{}
		t.conns[key] = c
	}
	return c
}

func (t *Transport) dial(ctx context.Context, to membership.Member) (*quic.Conn, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return t.quic.Dial(ctx, udpAddress, t.credentials.clientConfig(to.ID), t.config)
}

// Disconnect closes the connection to a dead host and removes its entry.
func (t *Transport) Disconnect(m membership.Member) {
	t.mu.Lock()
	c := t.conns[m.ID+" "+m.Address]
	delete(t.conns, m.ID+" "+m.Address)
	t.mu.Unlock()
	if c == nil {
		return
	}
	if conn := c.conn.Load(); conn != nil {
		_ = conn.CloseWithError(0, "")
	}
}

// countingReader counts the bytes read from a stream.
type countingReader struct {
	stream *quic.Stream
	count  *atomic.Int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	r.count.Add(int64(n))
	return n, err
}

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
	// idleTimeout ends a connection that nothing was sent on. There are no
	// keepalives: heartbeats reach every host in turn, and keeping a connection
	// to each would cost more than all else. A connection that went silent shows
	// at the next request.
	idleTimeout = 10 * time.Second
	// dialTimeout bounds the making of a connection.
	dialTimeout = 250 * time.Millisecond
	// redialAfter is how long a host that could not be reached is not dialled.
	redialAfter = 500 * time.Millisecond
	// silence is how long a host may acknowledge nothing after a request was
	// sent before its connection is given up. It is far above a round trip and
	// far below a deadline; a host that works on a request acknowledges it.
	silence = 100 * time.Millisecond
	// maxStreams is how many requests one peer may have open.
	maxStreams = 4096
	// cancelledStream is the code with which a request is given up.
	cancelledStream = 1
	// silentConnection is the code with which a silent connection is closed.
	silentConnection = 2
)

// Counters count the traffic of a Transport.
type Counters struct {
	Requests atomic.Int64
	Served   atomic.Int64
	Failures atomic.Int64
	BytesOut atomic.Int64
	BytesIn  atomic.Int64
}

// Transport carries requests between hosts.
type Transport struct {
	keys     *Keys
	handler  Handler
	quic     *quic.Transport
	listener *quic.Listener
	config   *quic.Config
	counters Counters
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	conns map[string]*link
}

// link is the connection to one host. Its mutex lets one request dial while
// the others wait for it.
type link struct {
	mu       sync.Mutex
	conn     atomic.Pointer[quic.Conn]
	failedAt time.Time
}

// Listen opens the UDP address for requests to others and, once Serve runs, for
// those of others.
func Listen(address string, keys *Keys) (*Transport, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "%q is not a UDP address", address)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "cannot listen on UDP %s", address)
	}
	t := &Transport{
		keys: keys,
		quic: &quic.Transport{Conn: socket},
		config: &quic.Config{
			MaxIdleTimeout:       idleTimeout,
			HandshakeIdleTimeout: time.Second,
			MaxIncomingStreams:   maxStreams,
		},
		conns: map[string]*link{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.listener, err = t.quic.Listen(keys.server(), t.config)
	if err != nil {
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "cannot listen for peers on %s", address)
	}
	return t, nil
}

// Counters returns the counters of the transport.
func (t *Transport) Counters() *Counters { return &t.counters }

// Close ends all connections.
func (t *Transport) Close() error {
	t.cancel()
	err := t.listener.Close()
	return errors.Join(err, t.quic.Close(), t.quic.Conn.Close())
}

// Serve answers requests with the handler until Close.
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
	from := peerName(conn)
	for {
		stream, err := conn.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		go t.serveStream(conn.Context(), from, stream)
	}
}

func peerName(conn *quic.Conn) string {
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
		stream.CancelWrite(cancelledStream)
		return
	}
	t.counters.Served.Add(1)
	// The context of the stream ends when the other side gives the request up.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	body, err := cbor.Marshal(t.dispatch(ctx, from, &req))
	if err != nil {
		stream.CancelWrite(cancelledStream)
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
		news := t.handler.OnKnowledge()
		return &response{Exchange: &news}
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

func (t *Transport) dispatchExchange(ctx context.Context, from string, news *Exchange) *response {
	if from != news.From.ID {
		return faultResponse(fault.New(fault.PeerFailed, fault.NotRun, "host %q speaks for %q", from, news.From.ID))
	}
	reply := t.handler.OnExchange(ctx, from, *news)
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

// Exchange gives news to a host and returns its own.
func (t *Transport) Exchange(ctx context.Context, to membership.Member, news Exchange) (Exchange, error) {
	resp, err := t.do(ctx, to, &request{Kind: KindExchange, Exchange: &news})
	if err != nil || resp.Exchange == nil {
		return Exchange{}, err
	}
	return *resp.Exchange, nil
}

// Probe asks a host to probe another one.
func (t *Transport) Probe(ctx context.Context, via, target membership.Member) error {
	_, err := t.do(ctx, via, &request{Kind: KindProbe, Target: &target})
	return err
}

// Forward passes a call for a server to a host.
func (t *Transport) Forward(ctx context.Context, to membership.Member, server string, call upstream.Call) (*upstream.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline())
	defer cancel()
	resp, err := t.do(ctx, to, &request{Kind: KindForward, Forward: newForward(server, call)})
	if err != nil {
		return nil, err
	}
	return resp.answer(call)
}

// Configuration returns the accepted object of a host, or nil.
func (t *Transport) Configuration(ctx context.Context, from membership.Member) ([]byte, error) {
	resp, err := t.do(ctx, from, &request{Kind: KindConfiguration})
	if err != nil {
		return nil, err
	}
	return resp.Document, nil
}

// Knowledge returns what a host knows of all servers and hosts.
func (t *Transport) Knowledge(ctx context.Context, from membership.Member) (Exchange, error) {
	resp, err := t.do(ctx, from, &request{Kind: KindKnowledge})
	if err != nil || resp.Exchange == nil {
		return Exchange{}, err
	}
	return *resp.Exchange, nil
}

// Result waits for the answer of an attempt with a key through a host, which may
// be nil.
func (t *Transport) Result(ctx context.Context, from membership.Member, nonce string) ([]byte, error) {
	resp, err := t.do(ctx, from, &request{Kind: KindResult, Nonce: nonce})
	if err != nil {
		return nil, err
	}
	return resp.Document, nil
}

// Claim passes a claim to the owner of its bucket.
func (t *Transport) Claim(ctx context.Context, owner membership.Member, req claim.Request) (claim.Reply, error) {
	resp, err := t.do(ctx, owner, &request{Kind: KindClaim, Claim: &req})
	if err != nil {
		return claim.Reply{}, err
	}
	if resp.Claim == nil {
		return claim.Reply{}, fault.New(fault.CorruptReply, fault.Unknown, "host %q sent no claim", owner.ID)
	}
	return *resp.Claim, nil
}

// do sends one request on a stream of its own and reads the answer.
func (t *Transport) do(ctx context.Context, to membership.Member, req *request) (*response, error) {
	t.counters.Requests.Add(1)
	body, err := cbor.Marshal(req)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, fault.NotRun, err, "the request cannot be encoded")
	}
	stream, conn, err := t.open(ctx, to)
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

func (t *Transport) roundTrip(ctx context.Context, conn *quic.Conn, stream *quic.Stream, body []byte) (*response, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(cancelledStream)
		stream.CancelWrite(cancelledStream)
	})
	defer stop()
	received := conn.ConnectionStats().PacketsReceived
	watch := time.AfterFunc(silence, func() {
		if conn.ConnectionStats().PacketsReceived == received {
			_ = conn.CloseWithError(silentConnection, "")
		}
	})
	defer watch.Stop()
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

// open returns a stream to a host, dialling if there is no live connection.
func (t *Transport) open(ctx context.Context, to membership.Member) (*quic.Stream, *quic.Conn, error) {
	conn, err := t.connect(ctx, to)
	if err != nil {
		return nil, nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	return stream, conn, err
}

func (t *Transport) connect(ctx context.Context, to membership.Member) (*quic.Conn, error) {
	l := t.link(to)
	if conn := l.conn.Load(); conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.conn.Load(); conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	if since := time.Since(l.failedAt); since < redialAfter {
		return nil, fault.New(fault.PeerFailed, fault.NotRun, "dialling failed %s ago", since)
	}
	conn, err := t.dial(ctx, to)
	if err != nil {
		l.failedAt = time.Now()
		return nil, err
	}
	l.conn.Store(conn)
	return conn, nil
}

func (t *Transport) link(to membership.Member) *link {
	key := to.ID + " " + to.Address
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.conns[key]
	if l == nil {
		l = &link{}
		t.conns[key] = l
	}
	return l
}

func (t *Transport) dial(ctx context.Context, to membership.Member) (*quic.Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return t.quic.Dial(ctx, udp, t.keys.client(to.ID), t.config)
}

// Forget closes the connection to a host, for one that is dead.
func (t *Transport) Forget(m membership.Member) {
	t.mu.Lock()
	l := t.conns[m.ID+" "+m.Address]
	delete(t.conns, m.ID+" "+m.Address)
	t.mu.Unlock()
	if l == nil {
		return
	}
	if conn := l.conn.Load(); conn != nil {
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

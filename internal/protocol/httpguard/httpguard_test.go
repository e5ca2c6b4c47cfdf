package httpguard

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const testHeadBytes = 4096

// pieces is a connection from which each read returns one piece.
type pieces struct {
	net.Conn
	list [][]byte
	sent bytes.Buffer
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.list) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.list[0])
	if p.list[0] = p.list[0][n:]; len(p.list[0]) == 0 {
		p.list = p.list[1:]
	}
	return n, nil
}

func (p *pieces) Write(b []byte) (int, error)      { return p.sent.Write(b) }
func (p *pieces) SetReadDeadline(time.Time) error  { return nil }
func (p *pieces) SetWriteDeadline(time.Time) error { return nil }
func (p *pieces) Close() error                     { return nil }
func split(raw []byte, size int) (list [][]byte) {
	for len(raw) > 0 {
		n := min(size, len(raw))
		list, raw = append(list, raw[:n]), raw[n:]
	}
	return list
}

func newTestListener(l net.Listener) *Listener {
	return New(l, Options{MaxHeadBytes: func() int { return testHeadBytes }, HeadTimeout: time.Second, RequestMemory: 100 << 10, MaxConns: 3})
}

func guarded(p *pieces) *Conn { return &Conn{Conn: p, listener: newTestListener(nil)} }

// parse returns the requests in r, one text each, up to the first one that is malformed or
// incomplete.
func parse(r io.Reader) (requests []string) {
	b := bufio.NewReader(r)
	for {
		req, err := http.ReadRequest(b)
		if err != nil {
			return requests
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return requests
		}
		requests = append(requests, fmt.Sprint(req.Method, req.RequestURI, req.Host, req.Header, len(req.Trailer), string(body)))
	}
}

// endRequests ends each request as the next one is read, as a server does.
type endRequests struct{ *Conn }

func (e endRequests) Read(p []byte) (int, error) {
	if e.ready == 0 && e.framing == noBody {
		e.EndRequest()
	}
	return e.Conn.Read(p)
}

// FuzzGuardPassesOnWhatServerReads sends arbitrary bytes in pieces. The server must read the
// same requests as without a guard, unless a head is over the limit.
func FuzzGuardPassesOnWhatServerReads(f *testing.F) {
	for _, raw := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\nHost: h\n\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\nxGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(raw), 7)
	}
	f.Fuzz(func(t *testing.T, raw []byte, size int) {
		if len(raw) > testHeadBytes || size <= 0 {
			return
		}
		want := parse(bytes.NewReader(raw))
		got := parse(endRequests{guarded(&pieces{list: split(raw, size)})})
		for i, request := range got {
			if i < len(want) && request != want[i] {
				t.Fatalf("request %d is %q, want %q", i, request, want[i])
			}
		}
		isUsual := bytes.Contains(raw, []byte(" HTTP/1.1")) && !bytes.Contains(raw, []byte("HTTP/1.0")) && !bytes.Contains(raw, []byte("\n ")) && !bytes.Contains(raw, []byte("\n\t"))
		if isUsual && len(got) < len(want) && !hasOddFraming(raw) {
			t.Fatalf("%d requests passed on, want %d", len(got), len(want))
		}
	})
}

// hasOddFraming reports whether the bytes may have a length that only net/http understands.
func hasOddFraming(raw []byte) bool {
	lower := bytes.ToLower(raw)
	return bytes.Contains(lower, []byte("content-length")) || bytes.Contains(lower, []byte("transfer-encoding"))
}

func TestRequestsPassOnUnchanged(t *testing.T) {
	raw := "\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nGET /\r\n\r\n" +
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1f\r\n" + strings.Repeat("y", 31) + "\r\n0\r\nT: v\r\n\r\n" +
		"GET /c HTTP/1.1\r\nHost: h\r\n\r\n"
	for size := 1; size <= len(raw); size++ {
		got := parse(endRequests{guarded(&pieces{list: split([]byte(raw), size)})})
		if len(got) != 3 || !strings.Contains(got[0], "GET /") || !strings.Contains(got[1], strings.Repeat("y", 31)) || !strings.Contains(got[2], "/c") {
			t.Fatalf("in pieces of %d bytes: %q", size, got)
		}
	}
}

func TestExcessiveHeadsAreRefused(t *testing.T) {
	for name, test := range map[string]struct{ raw, status string }{
		"empty lines":   {strings.Repeat("\r\n", 5000), "400"},
		"one long line": {"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", testHeadBytes), "431"},
		"many lines":    {"GET / HTTP/1.1\r\n" + strings.Repeat("x:\r\n", testHeadBytes/4), "431"},
		"whole, over":   {"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", testHeadBytes) + "\r\n\r\n", "431"},
	} {
		p := &pieces{list: split([]byte(test.raw), 100)}
		c := guarded(p)
		if n, err := c.Read(make([]byte, 100)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("%s: read %d bytes, %v; want the end", name, n, err)
		}
		if !strings.HasPrefix(p.sent.String(), "HTTP/1.1 "+test.status) {
			t.Errorf("%s: answered %q, want %s", name, p.sent.String(), test.status)
		}
		if c.Buffered() > testHeadBytes+1 {
			t.Errorf("%s: holds %d bytes", name, c.Buffered())
		}
	}
}

// Three requests with large heads need the memory of one. Each is passed on once the one
// before it has ended; a read that the server interrupts loses nothing.
func TestLargeHeadsWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(nil, Options{MaxHeadBytes: func() int { return testHeadBytes }, HeadTimeout: time.Second, RequestMemory: 200 << 10, MaxConns: 3})
		head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\r\n", 700) + "\r\n"
		conns := make([]*Conn, 3)
		for i := range conns {
			conns[i] = &Conn{Conn: &pieces{list: split([]byte(head), 1000)}, listener: l}
		}
		b := make([]byte, len(head))
		if _, err := conns[0].Read(b); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(100*time.Millisecond, func() {
			conns[1].SetReadDeadline(time.Now()) //nolint:errcheck // The pieces take deadlines.
		})
		if _, err := conns[1].Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("an interrupted read got %v", err)
		}
		conns[1].SetReadDeadline(time.Time{}) //nolint:errcheck // The pieces take deadlines.
		time.AfterFunc(100*time.Millisecond, conns[0].EndRequest)
		if n, err := conns[1].Read(b); err != nil || n != len(head) {
			t.Fatalf("read %d bytes, %v", n, err)
		}
		// Nothing ends any more.
		if _, err := conns[2].Read(b); !errors.Is(err, io.EOF) {
			t.Fatalf("got %v, want the end", err)
		}
		if sent := conns[2].Conn.(*pieces).sent.String(); !strings.HasPrefix(sent, "HTTP/1.1 503") {
			t.Fatalf("answered %q", sent)
		}
	})
}

// A fourth connection closes the one without a request for longest, but none with a request.
func TestTooManyConnectionsCloseTheLongestIdle(t *testing.T) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newTestListener(raw)
	defer l.Close()
	connect := func() (client net.Conn, server *Conn) {
		client, err := net.Dial("tcp4", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, nc.(*Conn)
	}
	client, busy := connect()
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := busy.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	_, oldest := connect()
	_, newer := connect()
	connect()
	if !oldest.isClosed || busy.isClosed || newer.isClosed || l.Evicted() != 1 {
		t.Fatalf("closed: busy %t, oldest %t, newer %t; %d evicted", busy.isClosed, oldest.isClosed, newer.isClosed, l.Evicted())
	}
}

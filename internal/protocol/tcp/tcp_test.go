package tcp

import (
	"io"
	"net"
	"testing"
	"time"
)

// HasInput must tell idle connections from others while a read of the connection waits, and
// must consume nothing.
func TestHasInputLeavesPendingReadAlone(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := Dialer().DialContext(t.Context(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan string)
	go func() {
		b := make([]byte, 2)
		n, err := io.ReadFull(near, b)
		if err != nil {
			t.Error(err)
		}
		got <- string(b[:n])
	}()
	for range 100 {
		if HasInput(near) {
			t.Fatal("an idle connection has input")
		}
		time.Sleep(time.Millisecond)
	}
	if _, err := io.WriteString(far, "ok+"); err != nil {
		t.Fatal(err)
	}
	if s := <-got; s != "ok" {
		t.Fatalf("read %q", s)
	}
	if !HasInput(near) {
		t.Fatal("a connection with an unread byte has no input")
	}
	b := make([]byte, 2)
	if n, err := near.Read(b); n != 1 || err != nil || b[0] != '+' {
		t.Fatalf("read %q, %v", b[:n], err)
	}
	far.Close()
	for range 1000 {
		if HasInput(near) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("a connection that the peer has closed has no input")
}

func TestHasInputOfPipe(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	if HasInput(a) {
		t.Fatal("a connection without a file descriptor has input")
	}
}

package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/godwithatch/godwithatch/tests/standin/shardserver"
)

const (
	// memoryMB and maxDescriptors are the limits of the front under test, in its settings.
	// The crowds are far smaller than those that the limits of real hosts must bear.
	memoryMB       = 128
	maxDescriptors = 700
	// crowdSize is the number of connections of a crowd, and crowdRounds the number of
	// requests that each sends if it does not stay open.
	crowdSize   = 300
	crowdRounds = 20
	// idleCrowdSize is the number of connections that only stay open. It exceeds
	// maxDescriptors.
	idleCrowdSize = 900
	// crowdTimeout bounds the time for which one connection waits for the front. It judges
	// nothing.
	crowdTimeout = 20 * time.Second
)

// shortLines returns a request head of size bytes that consists of as many header lines as
// possible.
func shortLines(size int, end string) string {
	var b strings.Builder
	b.WriteString("GET /one/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 1000\r\n")
	for n := 0; b.Len() < size-len(end)-8; n++ {
		b.WriteString(strconv.FormatInt(int64(36+n), 36) + ":\r\n")
	}
	return b.String() + end
}

func bodyHead(extra string) string {
	return "POST /desk/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 1400\r\n" + extra + "\r\n\r\n"
}

// chunkedBody returns a chunked body of size bytes in chunks of the given size.
func chunkedBody(size, chunk int) string {
	var b strings.Builder
	for left := size; left > 0; left -= chunk {
		n := min(chunk, left)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	return b.String() + "0\r\n\r\n"
}

// crowdMember is what one connection of a crowd does. It returns when the front closes the
// connection, or when it has sent all.
type crowdMember func(nc net.Conn)

// repeat sends a request again and again and reads the answers.
func repeat(request string) crowdMember {
	return func(nc net.Conn) {
		r := bufio.NewReader(nc)
		for range crowdRounds {
			if _, err := io.WriteString(nc, request); err != nil {
				return
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if err != nil || resp.Close {
				return
			}
		}
	}
}

// sendOnce sends a text and leaves the connection open.
func sendOnce(text string) crowdMember {
	return func(nc net.Conn) { io.WriteString(nc, text) } //nolint:errcheck // The front may close.
}

// sendWithoutEnd sends a text many times, without a pause, and more than any limit allows.
func sendWithoutEnd(start, text string) crowdMember {
	return func(nc net.Conn) {
		const most = 4 << 20
		text = strings.Repeat(text, max(1, 4096/len(text)))
		_, err := io.WriteString(nc, start)
		for sent := 0; err == nil && sent < most; sent += len(text) {
			_, err = io.WriteString(nc, text)
		}
	}
}

// The single request of each case is inside the limits of the configuration.
func TestFrontSurvivesCrowd(t *testing.T) {
	const headBytes, bodyBytes = 16384, 262144
	body := strings.Repeat("x", bodyBytes)
	length := "Content-Length: " + strconv.Itoa(bodyBytes)
	pieces := chunkedBody(bodyBytes, 512)
	cases := map[string]struct {
		size   int
		member crowdMember
	}{
		"whole heads of short lines":   {crowdSize, repeat(shortLines(headBytes, "\r\n"))},
		"heads of short lines, no end": {crowdSize, sendOnce(shortLines(headBytes, ""))},
		"head over the limit":          {crowdSize, sendWithoutEnd("GET /one/x HTTP/1.1\r\nHost: h.example\r\n", "x:y\r\n")},
		"one line without end":         {crowdSize, sendWithoutEnd("GET /one/x HTTP/1.1\r\nHost: h.example\r\nx: ", "y")},
		"empty lines without end":      {crowdSize, sendWithoutEnd("", "\r\n")},
		"whole bodies":                 {crowdSize, repeat(bodyHead(length) + body)},
		"whole bodies in pieces":       {crowdSize, repeat(bodyHead("Transfer-Encoding: chunked") + pieces)},
		"bodies one byte short":        {crowdSize, sendOnce(bodyHead(length) + body[1:])},
		"bodies in pieces, no end":     {crowdSize, sendOnce(bodyHead("Transfer-Encoding: chunked") + strings.TrimSuffix(pieces, "0\r\n\r\n"))},
		"idle connections":             {idleCrowdSize, sendOnce("")},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { checkCrowd(t, test.size, test.member) })
	}
}

// newCrowdDeployment starts one front with the limits under test and a server for each shard.
func newCrowdDeployment(t *testing.T) *deployment {
	d := newDeployment(t)
	d.settings = fmt.Sprintf("limits: {memory_mb: %d, max_fds: %d}\n", memoryMB, maxDescriptors)
	d.maxDescriptors = maxDescriptors
	for shard := range shards {
		id := fmt.Sprint("i-", shard)
		address := d.serve("127.0.3.1:0", shardserver.New(id))
		d.putServer(id, service(shard), dataCentre(0), address, 1)
	}
	d.configure()
	d.startFronts(1)
	return d
}

// checkCrowd lets a crowd at a front. The front must live and stay within its memory and
// descriptors, and must answer an ordinary request when the crowd is there and after it has
// left, however long that takes.
func checkCrowd(t *testing.T, size int, member crowdMember) {
	d := newCrowdDeployment(t)
	p := d.fronts[0]
	d.checkAnswers(p)
	var crowd sync.WaitGroup
	conns := make([]net.Conn, size)
	for i := range conns {
		crowd.Go(func() {
			nc, err := net.DialTimeout("tcp4", p.ip+":8080", crowdTimeout)
			if err != nil {
				return
			}
			conns[i] = nc
			nc.SetDeadline(time.Now().Add(crowdTimeout)) //nolint:errcheck // A TCP connection takes deadlines.
			member(nc)
		})
	}
	crowd.Wait()
	descriptors := d.openDescriptors(p)
	for _, nc := range conns {
		if nc != nil {
			nc.Close()
		}
	}
	if !p.hasEnded() {
		d.checkAnswers(p)
	}
	peak := d.peakMemoryMB(p)
	t.Logf("peak memory %d MB, %d descriptors", peak, descriptors)
	if p.hasEnded() {
		t.Fatalf("the front has ended; its log: %s", d.log(p))
	}
	if peak > memoryMB {
		t.Errorf("peak memory %d MB, the limit is %d MB", peak, memoryMB)
	}
	if descriptors > maxDescriptors {
		t.Errorf("%d descriptors, the limit is %d", descriptors, maxDescriptors)
	}
}

// checkAnswers sends an ordinary request to each route until it is answered.
func (d *deployment) checkAnswers(p *process) {
	for _, path := range []string{"/all/ordinary", "/one/ordinary"} {
		status := 0
		for end := time.Now().Add(startTimeout); status != http.StatusOK && time.Now().Before(end); {
			status, _ = ask(p, path, "ordinary")
		}
		if status != http.StatusOK {
			d.t.Errorf("an ordinary request to %s got %d", path, status)
		}
	}
}

// While more connections are open than the front has descriptors for, ordinary requests are
// answered.
func TestIdleCrowdKeepsNoOrdinaryCallerOut(t *testing.T) {
	d := newCrowdDeployment(t)
	p := d.fronts[0]
	for range idleCrowdSize {
		nc, err := net.DialTimeout("tcp4", p.ip+":8080", crowdTimeout)
		if err != nil {
			continue
		}
		defer nc.Close()
	}
	d.checkAnswers(p)
}

// A single client sends the largest requests that the limits of the configuration allow.
func TestLargestAllowedRequestsAreServed(t *testing.T) {
	d := newCrowdDeployment(t)
	p := d.fronts[0]
	largeBody := strings.Repeat("x", d.limits.bodyBytes)
	for name, request := range map[string]string{
		"head of short lines": shortLines(d.limits.headerBytes, "\r\n"),
		"head of one line":    "GET /one/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a\r\nx: " + strings.Repeat("y", d.limits.headerBytes-100) + "\r\n\r\n",
		"body":                bodyHead("Content-Length: "+strconv.Itoa(d.limits.bodyBytes)) + largeBody,
		"body in pieces":      bodyHead("Transfer-Encoding: chunked") + chunkedBody(d.limits.bodyBytes, 16),
		"two requests at once": "GET /one/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a\r\n\r\n" +
			"GET /one/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: b\r\n\r\n",
		"empty line before": "\r\nGET /one/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a\r\n\r\n",
	} {
		nc, err := net.DialTimeout("tcp4", p.ip+":8080", crowdTimeout)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(crowdTimeout)) //nolint:errcheck // A TCP connection takes deadlines.
		go io.WriteString(nc, request)               //nolint:errcheck // The answer shows whether it arrived.
		r := bufio.NewReader(nc)
		for range strings.Count(request, " HTTP/1.1\r\n") {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Errorf("%s: %v", name, err)
				break
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%s: got %d, %v", name, resp.StatusCode, err)
			}
			resp.Body.Close()
		}
		nc.Close()
	}
}

// openDescriptors returns the number of descriptors that a front has open.
func (d *deployment) openDescriptors(p *process) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd"))
	if err != nil {
		d.t.Fatal(err)
	}
	return len(entries)
}

// peakMemoryMB returns the largest resident memory that a front has had.
func (d *deployment) peakMemoryMB(p *process) int {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"))
	if err != nil {
		d.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				d.t.Fatal(err)
			}
			return kb >> 10
		}
	}
	d.t.Fatal("no peak memory is known")
	return 0
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/godwithatch/godwithatch/internal/serving/records"
)

// attempt is one request of a caller and what came of it.
type attempt struct {
	front       *front
	incarnation int
	id, route   string
	status      int
	body        []byte
	header      http.Header
	sent        time.Time
	calm        bool
	// mayLack means that its route was added too short a time ago to be in force
	// everywhere.
	mayLack bool
}

// call sends requests to the fronts until end and checks every answer.
func (s *soak) call(caller int, end time.Time, stopped chan<- struct{}) {
	defer func() { stopped <- struct{}{} }()
	client := &http.Client{Timeout: 2500 * time.Millisecond}
	newest := map[string]int{}
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(callerRate)
		f := s.fronts[(caller+n)%len(s.fronts)]
		s.mu.Lock()
		version := s.version
		a := &attempt{front: f, incarnation: f.incarnation, id: fmt.Sprintf("c%d-%d", caller, n), sent: time.Now()}
		a.calm = a.sent.After(s.disturbed) && !f.down && f.stopping.IsZero()
		settled := a.calm && a.sent.Sub(s.configured) > drainBound
		s.mu.Unlock()
		a.route = []string{"all", "all", "one", "desk", "v" + strconv.Itoa(version)}[n%5]
		a.mayLack = n%5 == 4 && !settled
		s.send(client, a)
		s.checkAnswer(a)
		if n%5 == 4 {
			s.checkVersion(a, version, settled, newest)
		}
	}
}

func (s *soak) send(client *http.Client, a *attempt) {
	method, body := http.MethodGet, io.Reader(nil)
	if a.route == "desk" {
		method, body = http.MethodPost, strings.NewReader("x")
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+a.front.ip+":8080/"+a.route+"/x", body)
	if err != nil {
		s.report.fail("%v", err)
		return
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", "1400")
	// The transport must not repeat a request by itself.
	req.GetBody = nil
	s.report.sent(a)
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if a.body, err = io.ReadAll(resp.Body); err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
	}
}

func (s *soak) checkAnswer(a *attempt) {
	s.report.ended(a)
	switch {
	case a.status != http.StatusOK:
		if a.calm && a.status != 0 {
			allowed := a.status >= http.StatusInternalServerError || a.mayLack && a.status == http.StatusNotFound
			s.report.check("a proper request is not denied", allowed, "%s got %d", a.route, a.status)
		}
	case a.route == "all":
		s.checkJoined(a)
	default:
		signature := a.header.Get("Server-Signature")
		server := s.signer(signature, a.id)
		ok := server != "" && bytes.Equal(a.body, s.recordsOf(server, a.id))
		s.report.check("a forwarded answer is the server's own", ok, "%s: %q", a.id, signature)
	}
}

func (s *soak) checkJoined(a *attempt) {
	var parts [][]byte
	services := map[string]bool{}
	isTrue := true
	for signature := range strings.SplitSeq(a.header.Get("Shard-Stamps"), ", ") {
		server := s.signer(signature, a.id)
		if server == "" {
			isTrue = false
			continue
		}
		index, _, _ := strings.Cut(strings.TrimPrefix(server, "i-"), "-")
		n, err := strconv.Atoi(index)
		service := strconv.Itoa(n / replicas)
		isTrue = isTrue && err == nil && !services[service]
		services[service] = true
		parts = append(parts, s.recordsOf(server, a.id))
	}
	missing, err := strconv.Atoi(a.header.Get("Shards-Missing"))
	s.report.check("stated coverage is true", isTrue && err == nil && len(parts)+missing == shards && len(parts) >= 3, "%s: %v", a.id, a.header)
	s.report.check("a joined answer is the greatest records", bytes.Equal(a.body, records.Greatest(5, parts)), "%s", a.id)
}

// signer returns the server that made a signature for a request, or "".
func (s *soak) signer(signature, id string) string {
	name, _, _ := strings.Cut(signature, ".")
	s.mu.Lock()
	server := s.servers[name]
	s.mu.Unlock()
	if server == nil || server.Signature(id) != signature {
		return ""
	}
	return name
}

func (s *soak) recordsOf(server, id string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[server].Records(id)
}

// checkVersion checks that a version is in force in time and that no incarnation of
// a front goes back behind one that it has served.
func (s *soak) checkVersion(a *attempt, version int, settled bool, newest map[string]int) {
	key := a.front.name + "/" + strconv.Itoa(a.incarnation)
	s.mu.Lock()
	same := a.incarnation == a.front.incarnation
	s.mu.Unlock()
	if a.status == 0 || a.status == http.StatusServiceUnavailable || !same {
		return
	}
	if a.status != http.StatusNotFound {
		newest[key] = max(newest[key], version)
		return
	}
	s.report.check("a configuration never reverts", newest[key] < version, "%s refused version %d after it served it", key, version)
	s.report.check("a configuration is in force in time", !settled, "%s refused version %d", key, version)
}

// finish checks the ledgers of the servers and ends the fronts.
func (s *soak) finish() bool {
	time.Sleep(2 * time.Second)
	for _, f := range s.fronts {
		if err := f.cmd.Process.Kill(); err != nil {
			s.report.fail("a process ended by itself: %s", f.name)
		}
		f.cmd.Wait() //nolint:errcheck // It was killed.
	}
	runs := map[string]int{}
	for _, server := range s.servers {
		for run, n := range server.Runs() {
			id, _, _ := strings.Cut(run, " ")
			if strings.HasSuffix(run, "/desk/x") {
				runs[id] += n
			}
			s.report.check("only what a caller sent has run", s.report.wasSent(run), "%s", run)
		}
	}
	s.report.checkLedger(runs)
	return s.report.isBroken()
}

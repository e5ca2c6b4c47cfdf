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

// callerRequest is one request of a caller with its answer. status is 0 if no complete
// answer arrived.
type callerRequest struct {
	front       *front
	incarnation int
	id, route   string
	status      int
	body        []byte
	header      http.Header
	sentAt      time.Time
	// isUndisturbed means that no fault affected the store or the front when the request
	// was sent.
	isUndisturbed bool
	// routeMayBeMissing means that the front is still allowed not to know the route,
	// because the route was added only recently.
	routeMayBeMissing bool
}

// runCaller sends requests to the fronts until end and checks every answer.
func (s *soak) runCaller(caller int, end time.Time, stopped chan<- struct{}) {
	defer func() { stopped <- struct{}{} }()
	client := &http.Client{Timeout: 2500 * time.Millisecond}
	newestServed := map[string]int{}
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(callerInterval)
		f := s.fronts[(caller+n)%len(s.fronts)]
		s.mu.Lock()
		version := s.version
		a := &callerRequest{front: f, incarnation: f.incarnation, id: fmt.Sprintf("c%d-%d", caller, n), sentAt: time.Now()}
		a.isUndisturbed = a.sentAt.After(s.disturbedUntil) && !f.isDown && f.faultSince.IsZero()
		mustBeInForce := a.isUndisturbed && a.sentAt.Sub(s.configuredAt) > drainBound
		s.mu.Unlock()
		a.route = []string{"all", "all", "one", "desk", "v" + strconv.Itoa(version)}[n%5]
		a.routeMayBeMissing = n%5 == 4 && !mustBeInForce
		s.send(client, a)
		s.checkAnswer(a)
		if n%5 == 4 {
			s.checkVersion(a, version, mustBeInForce, newestServed)
		}
	}
}

func (s *soak) send(client *http.Client, a *callerRequest) {
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
	// Without GetBody the transport cannot resend a request with a body on its own.
	req.GetBody = nil
	s.report.addRequest(a)
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if a.body, err = io.ReadAll(resp.Body); err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
	}
}

func (s *soak) checkAnswer(a *callerRequest) {
	s.report.countStatus(a)
	switch {
	case a.status != http.StatusOK:
		if a.isUndisturbed && a.status != 0 {
			allowed := a.status >= http.StatusInternalServerError || a.routeMayBeMissing && a.status == http.StatusNotFound
			s.report.check("a proper request is not denied", allowed, "%s got %d", a.route, a.status)
		}
	case a.route == "all":
		s.checkMerged(a)
	default:
		signature := a.header.Get("Server-Signature")
		server := s.signer(signature, a.id)
		ok := server != "" && bytes.Equal(a.body, s.recordsOf(server, a.id))
		s.report.check("a forwarded answer is the server's own", ok, "%s: %q", a.id, signature)
	}
}

func (s *soak) checkMerged(a *callerRequest) {
	var shardRecords [][]byte
	services := map[string]bool{}
	isCoverageTrue := true
	for signature := range strings.SplitSeq(a.header.Get("Shard-Stamps"), ", ") {
		server := s.signer(signature, a.id)
		if server == "" {
			isCoverageTrue = false
			continue
		}
		index, _, _ := strings.Cut(strings.TrimPrefix(server, "i-"), "-")
		n, err := strconv.Atoi(index)
		service := strconv.Itoa(n / replicas)
		isCoverageTrue = isCoverageTrue && err == nil && !services[service]
		services[service] = true
		shardRecords = append(shardRecords, s.recordsOf(server, a.id))
	}
	missing, err := strconv.Atoi(a.header.Get("Shards-Missing"))
	s.report.check("stated coverage is true", isCoverageTrue && err == nil && len(shardRecords)+missing == shards && len(shardRecords) >= 3, "%s: %v", a.id, a.header)
	s.report.check("a joined answer is the greatest records", bytes.Equal(a.body, records.Greatest(5, shardRecords)), "%s", a.id)
}

// signer returns the identity of the server that signed the answer to a request,
// or "" if the signature is not valid.
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

// checkVersion checks that a front applies a configuration within drainBound, and that it
// does not revert to a configuration older than one that it has served since it started.
// Each version of the configuration adds a route of its own. A 404 for that route means
// that the version is not in force.
func (s *soak) checkVersion(a *callerRequest, version int, mustBeInForce bool, newestServed map[string]int) {
	key := a.front.name + "/" + strconv.Itoa(a.incarnation)
	s.mu.Lock()
	isSameIncarnation := a.incarnation == a.front.incarnation
	s.mu.Unlock()
	if a.status == 0 || a.status == http.StatusServiceUnavailable || !isSameIncarnation {
		return
	}
	if a.status != http.StatusNotFound {
		newestServed[key] = max(newestServed[key], version)
		return
	}
	s.report.check("a configuration never reverts", newestServed[key] < version, "%s answered 404 for version %d after it had served it", key, version)
	s.report.check("a configuration is in force in time", !mustBeInForce, "%s answered 404 for version %d", key, version)
}

// finish kills the fronts, compares the requests that the servers have run with those
// that callers sent, and reports whether any check of the run failed.
func (s *soak) finish() bool {
	time.Sleep(2 * time.Second)
	for _, f := range s.fronts {
		if err := f.cmd.Process.Kill(); err != nil {
			s.report.fail("front exited unexpectedly: %s", f.name)
		}
		f.cmd.Wait() //nolint:errcheck // The process was killed, so Wait returns an error.
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
	s.report.checkExecutions(runs)
	return s.report.hasViolations()
}

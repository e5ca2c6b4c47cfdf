//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// deadlyInterval is the time between two attempts of the request that ends servers, and
	// deadlyTime the time for which it comes.
	deadlyInterval = 2 * time.Second
	deadlyTime     = 40 * time.Second
	// mostRetries is the number of retries that may reach servers later than contact_ms after
	// the third end.
	mostRetries = 3
)

// playDeadly: a request crashes the machine of each server that begins to run it, and comes
// again at any front.
func playDeadly(r *rig, hasTrouble bool) string {
	servers := startDesk(r, "read_only")
	const path = "/book/deadly"
	if hasTrouble {
		for _, s := range servers {
			s.deadly = path
		}
	}
	r.startAll()
	time.Sleep(2 * time.Second)
	c := newClients(r, "/book/")
	c.timeout = 3 * time.Second
	for _, zone := range r.zones {
		c.run(zone.name, deskPerSecond)
	}
	time.Sleep(2 * time.Second)
	for end := time.Now().Add(deadlyTime); time.Now().Before(end); time.Sleep(deadlyInterval) {
		go r.askDeadly(path)
	}
	time.Sleep(time.Second)
	c.close()
	var ends []time.Time
	for _, s := range servers {
		ends = append(ends, s.crashes...)
	}
	slices.SortFunc(ends, time.Time.Compare)
	if len(ends) < 3 {
		return ""
	}
	from := ends[2].Add(time.Duration(r.contactMs) * time.Millisecond)
	late := map[string]bool{}
	for _, s := range servers {
		for _, a := range s.arrivals {
			if a.isDeadly && a.sent.After(from) {
				late[a.request] = true
			}
		}
	}
	r.log("%d servers ended, the third at %.4f; %d retries sent later than %d ms after that reached servers", len(ends), ends[2].Sub(r.start).Seconds(), len(late), r.contactMs)
	if len(late) <= mostRetries {
		return ""
	}
	return fmt.Sprintf("BUDGET: %d retries of the request reached servers, sent later than %d ms after it had crashed the third; %d servers ended in all", len(late), r.contactMs, len(ends))
}

// askDeadly sends the request that ends servers to any front.
func (r *rig) askDeadly(path string) {
	f := r.fronts[rand.IntN(len(r.fronts))]
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+path, http.NoBody)
	must(err)
	now := time.Now()
	id := "deadly-" + strconv.FormatInt(int64(now.Sub(r.start)), 36)
	req.Host, req.Close = host, true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "3000")
	r.log("send %s to %s", id, f.name)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.log("answer %s none: %v", id, err)
		return
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // Only the status counts.
	r.log("answer %s status %d after %d ms", id, resp.StatusCode, time.Since(now).Milliseconds())
}

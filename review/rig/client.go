//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to the fronts of their zone at a constant rate. They keep their
// connections open, and retry once, at another front, after a failure.
type clients struct {
	rig  *rig
	path string
	// isUnsafe means that the requests must not run twice: they are sent with POST, and again
	// only after a status that promises that they have not run and never will.
	isUnsafe bool
	timeout  time.Duration
	client   *http.Client
	// observe, if not nil, is called with the number of each request, the ID of the attempt
	// and the status of its answer.
	observe func(n int64, id string, status int)
	count   atomic.Int64
	ended   sync.WaitGroup
	stop    chan struct{}

	served, refused, failed atomic.Int64
}

func newClients(r *rig, path string) *clients {
	return &clients{rig: r, path: path, timeout: 1200 * time.Millisecond, stop: make(chan struct{}), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// run sends perSecond requests a second from a zone until close.
func (c *clients) run(zone string, perSecond float64) {
	var fronts []*front
	for _, f := range c.rig.fronts {
		if f.zone == zone {
			fronts = append(fronts, f)
		}
	}
	c.ended.Add(1)
	go func() {
		defer c.ended.Done()
		next := time.Now()
		for {
			next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			select {
			case <-c.stop:
				return
			case <-time.After(time.Until(next)):
			}
			c.ended.Go(func() { c.ask(fronts) })
		}
	}()
}

func (c *clients) close() {
	close(c.stop)
	c.ended.Wait()
	c.rig.log("clients: %d served, %d refused, %d failed", c.served.Load(), c.refused.Load(), c.failed.Load())
}

// ask sends a request, and once more if that fails and there is time.
func (c *clients) ask(fronts []*front) {
	n, first := c.count.Add(1), rand.IntN(len(fronts))
	deadline := time.Now().Add(c.timeout)
	for try := range 2 {
		status, wait := c.send(fronts[(first+try)%len(fronts)], n, try, deadline)
		switch {
		case status == http.StatusOK:
			c.served.Add(1)
			return
		case try == 1 || time.Until(deadline) <= 0 || c.isUnsafe && !isPromise(status):
			if status == http.StatusServiceUnavailable {
				c.refused.Add(1)
			} else {
				c.failed.Add(1)
			}
			return
		}
		time.Sleep(min(wait, time.Until(deadline)/3))
	}
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// send sends one attempt and returns the status, 0 without an answer, and the time after
// which the front wants it again.
func (c *clients) send(f *front, n int64, try int, deadline time.Time) (int, time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if c.isUnsafe {
		method, body = http.MethodPost, strings.NewReader(fmt.Sprintf("booking %d", n))
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s%d", f.address, c.path, n), body)
	must(err)
	now := time.Now()
	id := fmt.Sprintf("q%d.%d-%s", n, try, strconv.FormatInt(int64(now.Sub(c.rig.start)), 36))
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	c.rig.log("send %s to %s", id, f.name)
	resp, err := c.client.Do(req)
	if err != nil {
		c.rig.log("answer %s none: %v", id, err)
		return 0, 0
	}
	defer resp.Body.Close()
	if c.observe != nil {
		c.observe(n, id, resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	c.rig.log("answer %s status %d after %d ms", id, resp.StatusCode, time.Since(now).Milliseconds())
	if err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

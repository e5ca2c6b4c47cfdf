package http1

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// maxHeadBytes is the maximum size in bytes of the head of a response, together with
	// the heads of the responses with a 1xx status before it.
	maxHeadBytes = 64 << 10
	// initialBodyBytes is the size of the first buffer for a body of unknown length.
	initialBodyBytes = 4 << 10
)

const (
	errHeadTooLarge   = protocolError("response head exceeds the size limit")
	errBodyTooLarge   = protocolError("response body exceeds the size limit")
	errBodiesTooLarge = protocolError("response bodies being read exceed the memory for them")
)

// headReader reads from a connection and bounds the bytes of a response head. A faulty
// server may send a head without end.
type headReader struct {
	nc net.Conn
	// isInHead is set while a head is read; left is the number of bytes that the head may
	// still have.
	isInHead bool
	left     int
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.isInHead {
		return r.nc.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.nc.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// beginHead starts to count the bytes of a head.
func (r *headReader) beginHead() { r.isInHead, r.left = true, maxHeadBytes }

// endHead stops counting.
func (r *headReader) endHead() { r.isInHead = false }

// memory bounds the bytes of the bodies that are being read at the same time on all
// connections of a pool. It is safe for concurrent use.
type memory struct {
	// limit is the maximum in bytes; 0 means no limit.
	limit int64
	used  atomic.Int64
	// rejected is the number of bodies that were cut off because of the limit.
	rejected atomic.Int64
}

// reserve adds n bytes and reports true, or reports false if the limit would be exceeded.
func (m *memory) reserve(n int64) bool {
	if used := m.used.Add(n); m.limit > 0 && used > m.limit {
		m.used.Add(-n)
		m.rejected.Add(1)
		return false
	}
	return true
}

// release subtracts n bytes.
func (m *memory) release(n int64) { m.used.Add(-n) }

// readBody reads the whole body of a response. It fails if the body has more than maxBody
// bytes, or if m has no room for it. Bodies of up to maxPreallocatedBody bytes are not
// counted in m.
func readBody(resp *http.Response, maxBody int64, m *memory) ([]byte, error) {
	size := int64(initialBodyBytes)
	switch n := resp.ContentLength; {
	case resp.Body == http.NoBody:
		// A response without a body, such as a response to HEAD, may still have a
		// Content-Length.
		return nil, nil
	case n > maxBody:
		return nil, errBodyTooLarge
	case n >= 0 && n <= maxPreallocatedBody:
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	case n > 0:
		// The server may never send what it announces.
		size = maxPreallocatedBody
	}
	return readAll(resp.Body, size, maxBody, m)
}

// readAll reads r to its end into a buffer that has size bytes at first and grows by
// doubling. It counts the buffer in m while it reads, once the buffer exceeds
// maxPreallocatedBody bytes.
func readAll(r io.Reader, size, maxBody int64, m *memory) ([]byte, error) {
	body := make([]byte, 0, size)
	reserved := int64(0)
	defer func() { m.release(reserved) }()
	for {
		if len(body) == cap(body) {
			grown := 2 * int64(cap(body))
			if grown > maxPreallocatedBody {
				if !m.reserve(grown) {
					return nil, errBodiesTooLarge
				}
				reserved += grown
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBody:
			return nil, errBodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

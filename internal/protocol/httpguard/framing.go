package httpguard

import (
	"bytes"
	"strconv"
	"strings"
)

// framing says how the body of a request ends.
type framing int

const (
	// noBody means that the next request follows the head.
	noBody framing = iota
	// withLength means that the body has a length, and chunked that it has chunks.
	withLength
	chunked
	// undefined means that the server must refuse the request, and that nothing after its
	// head can be understood.
	undefined
)

// framingOf returns how the body of a request with the given head ends, and its length if it
// has one. It agrees with net/http on all requests that net/http accepts.
func framingOf(head []byte) (framing, int64) {
	requestLine, rest, _ := bytes.Cut(head, []byte("\n"))
	length, hasLength, isChunked := int64(0), false, false
	isFramingField := false
	for line := range bytes.Lines(rest) {
		if line[0] == ' ' || line[0] == '\t' {
			if isFramingField {
				return undefined, 0
			}
			continue
		}
		name, value, _ := strings.Cut(string(bytes.TrimRight(line, "\r\n")), ":")
		value = strings.Trim(value, " \t")
		isFramingField = false
		switch {
		case strings.EqualFold(name, "Transfer-Encoding"):
			if isChunked || !strings.EqualFold(value, "chunked") {
				return undefined, 0
			}
			isChunked, isFramingField = true, true
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < 0 || hasLength && n != length {
				return undefined, 0
			}
			length, hasLength, isFramingField = n, true, true
		}
	}
	switch {
	case isChunked && !bytes.HasSuffix(bytes.TrimRight(requestLine, "\r"), []byte(" HTTP/1.1")):
		return undefined, 0
	case isChunked:
		return chunked, 0
	case length > 0:
		return withLength, length
	default:
		return noBody, 0
	}
}

// chunkPart is the part of a chunked body that follows.
type chunkPart int

const (
	chunkSize chunkPart = iota
	chunkExtension
	chunkData
	chunkEnd
	trailer
)

// chunkScanner finds the end of a chunked body. The zero value is at its start.
type chunkScanner struct {
	part chunkPart
	// size is the size of the chunk as far as read, and left the rest of its data.
	size, left int64
	// digits is the number of digits of the size, and lineBytes the number of bytes of the
	// trailer line.
	digits, lineBytes int
}

// maxChunkDigits is the maximum number of digits of a chunk's size.
const maxChunkDigits = 15

// scan returns the number of bytes of b that belong to the body, and whether the body ends
// with them. It reports false as the last result if the body is malformed.
func (s *chunkScanner) scan(b []byte) (n int, isEnd, ok bool) {
	for n < len(b) {
		if s.part == chunkData {
			step := min(s.left, int64(len(b)-n))
			n += int(step)
			s.left -= step
			if s.left == 0 {
				s.part = chunkEnd
			}
			continue
		}
		c := b[n]
		n++
		switch s.part {
		case chunkSize:
			if !s.addDigit(c) {
				return n, false, false
			}
		case chunkExtension:
			if c == '\n' {
				s.endSize()
			}
		case chunkEnd:
			if c == '\n' {
				s.part = chunkSize
			} else if c != '\r' {
				return n, false, false
			}
		case trailer:
			if s.endsTrailer(c) {
				return n, true, true
			}
		}
	}
	return n, false, true
}

// addDigit takes a byte of a size line and reports false if it can't be one.
func (s *chunkScanner) addDigit(c byte) bool {
	digit, err := strconv.ParseUint(string(c), 16, 8)
	switch {
	case err == nil:
		s.size, s.digits = s.size<<4|int64(digit), s.digits+1
	case s.digits == 0:
		return false
	case c == '\n':
		s.endSize()
	default:
		s.part = chunkExtension
	}
	return s.digits <= maxChunkDigits
}

func (s *chunkScanner) endSize() {
	s.part, s.left = chunkData, s.size
	if s.size == 0 {
		s.part, s.lineBytes = trailer, 0
	}
	s.size, s.digits = 0, 0
}

// endsTrailer takes a byte of the trailer and reports whether it ends the body.
func (s *chunkScanner) endsTrailer(c byte) bool {
	switch c {
	case '\r':
		return false
	case '\n':
		isEmpty := s.lineBytes == 0
		s.lineBytes = 0
		return isEmpty
	default:
		s.lineBytes++
		return false
	}
}

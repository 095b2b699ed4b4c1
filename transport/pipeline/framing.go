package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"sync"
)

var (
	headEnd          = []byte("\r\n\r\n")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// findHeadEnd returns the length of the request head at the start of b, or -1 if it is incomplete.
// The first scanned bytes are known to contain no end.
func findHeadEnd(b []byte, scanned int) int {
	from := max(0, scanned-len(headEnd)+1)
	i := bytes.Index(b[from:], headEnd)
	if i < 0 {
		return -1
	}
	return from + i + len(headEnd)
}

// bodyLength returns the length of the body that follows a request head. It returns false if net/http
// may see another end of the request than this package: the head has a line that ends without CR, a
// folded line, a space in front of a colon, Transfer-Encoding, or a Content-Length that is not a
// single plain number.
func bodyLength(head []byte) (int64, bool) {
	length, seen := int64(0), false
	for first := true; len(head) > 0; first = false {
		end := bytes.IndexByte(head, '\n')
		if end < 1 || head[end-1] != '\r' {
			return 0, false
		}
		line := head[:end-1]
		head = head[end+1:]
		if len(line) == 0 {
			// The empty line is the end of the head, or in front of the request line.
			return length, !first
		}
		if first {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return 0, false
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || len(bytes.TrimSpace(name)) != len(name) {
			return 0, false
		}
		switch len(name) {
		case len(transferEncoding):
			if bytes.EqualFold(name, transferEncoding) {
				return 0, false
			}
		case len(contentLength):
			if !bytes.EqualFold(name, contentLength) {
				continue
			}
			if seen {
				return 0, false
			}
			seen = true
			if length, found = parseLength(bytes.Trim(value, " \t")); !found {
				return 0, false
			}
		}
	}
	return 0, false
}

// parseLength parses a number of up to 18 digits, which fits into an int64.
func parseLength(digits []byte) (int64, bool) {
	if len(digits) == 0 || len(digits) > 18 {
		return 0, false
	}
	n := int64(0)
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = 10*n + int64(d-'0')
	}
	return n, true
}

var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parseRequest parses a complete request head. It returns nil if the request must be left to the
// server: it has a body, is malformed, or needs something that only the server does.
func parseRequest(head []byte) *http.Request {
	if length, known := bodyLength(head); !known || length != 0 || !plainHeaders(head) {
		return nil
	}
	reader := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(reader)
	reader.Reset(bytes.NewReader(head))
	r, err := http.ReadRequest(reader)
	if err != nil || !pipelinable(r) {
		return nil
	}
	return r
}

// pipelinable says whether requests behind r may be started while r runs, and r while others run, as
// far as HTTP is concerned. HEAD is left out because the server's ResponseWriter, which writes the
// last response of a run, knows only the method of the first request.
func pipelinable(r *http.Request) bool {
	return r.ProtoMajor == 1 && r.ProtoMinor == 1 && r.ContentLength == 0 && len(r.TransferEncoding) == 0 && !r.Close &&
		r.Method != http.MethodHead && r.Method != http.MethodConnect && r.RequestURI != "*" &&
		r.Header["Expect"] == nil && r.Header["Upgrade"] == nil && r.Header["Trailer"] == nil
}

// plainHeaders says whether a head contains what the server requires in addition to
// http.ReadRequest: one plain Host, valid header names and no control characters in values. It is
// stricter than the server; the server decides about heads that fail.
func plainHeaders(head []byte) bool {
	hosts := 0
	for n, line := range strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n") {
		if n == 0 {
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		if name == "" || strings.ContainsFunc(name, func(c rune) bool { return !isNameChar(c) }) ||
			strings.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
			return false
		}
		if strings.EqualFold(name, "Host") {
			hosts++
			host := strings.Trim(value, " \t")
			if host == "" || strings.ContainsFunc(host, func(c rune) bool { return !isHostChar(c) }) {
				return false
			}
		}
	}
	return hosts == 1
}

func isAlphanumeric(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

func isNameChar(c rune) bool { return isAlphanumeric(c) || c == '-' || c == '_' }

func isHostChar(c rune) bool { return isNameChar(c) || c == '.' || c == ':' || c == '[' || c == ']' }

package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// MaxResponseHeadBytes is the size limit of the head of a target's response, in bytes.
const MaxResponseHeadBytes = 64 << 10

var (
	// ErrHeadTooLarge means that a target sent more than MaxResponseHeadBytes that do not end a head.
	ErrHeadTooLarge = errors.New("wire: the head of the response exceeds the size limit")
	// ErrMalformed means that a target sent something that is no response according to RFC 9110 and
	// RFC 9112. Nothing in it can be believed.
	ErrMalformed = errors.New("wire: malformed response")
)

// ResponseReader reads responses from a connection. It is stricter than http.ReadResponse: it limits the
// size of a head, since a target may send bytes that are no response without end, and it rejects
// malformed heads and trailers.
type ResponseReader struct {
	*bufio.Reader
	from *headReader
}

// NewResponseReader returns a reader with a buffer of the given size in bytes.
func NewResponseReader(r io.Reader, size int) *ResponseReader {
	from := &headReader{from: r, left: math.MaxInt64}
	return &ResponseReader{Reader: bufio.NewReaderSize(from, size), from: from}
}

// ReadResponse reads the head of the response to a request. The body is read from the connection.
func (r *ResponseReader) ReadResponse(req *http.Request) (*http.Response, error) {
	// An error means that less is buffered.
	buffered, _ := r.Peek(r.Buffered())
	r.from.beginHead(buffered)
	resp, err := http.ReadResponse(r.Reader, req)
	head, exceeded := r.from.endHead()
	if err != nil && exceeded {
		return nil, ErrHeadTooLarge
	}
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	if err := checkFields(resp, head); err != nil {
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailerChecker{resp.Body, resp}
	}
	return resp, nil
}

// checkStatus returns an error if the status line is malformed.
func checkStatus(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s", ErrMalformed, resp.Proto)
	case resp.StatusCode < 100 || resp.StatusCode > 599:
		return fmt.Errorf("%w: status %.3s", ErrMalformed, resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: switches to another protocol without having been asked to", ErrMalformed)
	case !httpguts.ValidHeaderFieldValue(resp.Status):
		return fmt.Errorf("%w: control characters in the status line", ErrMalformed)
	}
	return nil
}

// checkFields returns an error if a header field is malformed, or if the end of the body is ambiguous.
// head begins with the head of the response.
func checkFields(resp *http.Response, head []byte) error {
	if err := checkNames(resp.Header); err != nil {
		return err
	}
	var transferEncoding, contentLength bool
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	for {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			// A gateway may reject folded lines.
			return fmt.Errorf("%w: a folded header line", ErrMalformed)
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		transferEncoding = transferEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		contentLength = contentLength || bytes.EqualFold(name, []byte("Content-Length"))
	}
	switch {
	case transferEncoding && contentLength:
		return fmt.Errorf("%w: both Transfer-Encoding and Content-Length", ErrMalformed)
	case transferEncoding && !resp.ProtoAtLeast(1, 1):
		return fmt.Errorf("%w: Transfer-Encoding with version %s", ErrMalformed, resp.Proto)
	}
	return nil
}

// checkNames returns an error if the name of a field is not a token. net/http accepts spaces in names, and
// does not recognise such a field.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
	}
	return nil
}

// trailerChecker is the body of a chunked response. Read returns an error in place of io.EOF if the
// trailers are malformed.
type trailerChecker struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *trailerChecker) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if err := checkNames(b.resp.Trailer); err != nil {
			return n, err
		}
	}
	return n, err
}

// headReader limits and records what is read as part of a head.
type headReader struct {
	from io.Reader
	// left is the number of bytes that may still be read.
	left int64
	// inHead says that a head is being read. head begins with what has been read of it.
	inHead bool
	head   []byte
}

func (r *headReader) beginHead(buffered []byte) {
	r.left, r.inHead, r.head = MaxResponseHeadBytes, true, bytes.Clone(buffered)
}

// endHead returns the bytes that begin with the head, and whether the limit was reached.
func (r *headReader) endHead() (head []byte, exceeded bool) {
	head, exceeded = r.head, r.left <= 0
	r.left, r.inHead, r.head = math.MaxInt64, false, nil
	return head, exceeded
}

// Read returns ErrHeadTooLarge once the limit is reached.
func (r *headReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.from.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	if r.inHead {
		r.head = append(r.head, b[:n]...)
	}
	return n, err
}

package wire

import (
	"bufio"
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
	from *limitedReader
}

// NewResponseReader returns a reader with a buffer of the given size in bytes.
func NewResponseReader(r io.Reader, size int) *ResponseReader {
	from := &limitedReader{from: r, left: math.MaxInt64}
	return &ResponseReader{Reader: bufio.NewReaderSize(from, size), from: from}
}

// ReadResponse reads the head of the response to a request. The body is read from the connection.
func (r *ResponseReader) ReadResponse(req *http.Request) (*http.Response, error) {
	r.from.left = MaxResponseHeadBytes
	resp, err := http.ReadResponse(r.Reader, req)
	exceeded := r.from.left <= 0
	r.from.left = math.MaxInt64
	if err != nil && exceeded {
		return nil, ErrHeadTooLarge
	}
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		return nil, err
	}
	if err := checkNames(resp.Header); err != nil {
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailerChecker{resp.Body, resp}
	}
	return resp, nil
}

// checkStatus returns an error if the status is not one of HTTP.
func checkStatus(resp *http.Response) error {
	if resp.StatusCode < 100 || resp.StatusCode > 599 {
		return fmt.Errorf("%w: status %.3s", ErrMalformed, resp.Status)
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

// limitedReader returns ErrHeadTooLarge once the limit is reached.
type limitedReader struct {
	from io.Reader
	left int64
}

func (r *limitedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.from.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	return n, err
}

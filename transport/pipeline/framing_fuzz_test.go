package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"reflect"
	"testing"
)

// chunkedConn is a connection from which data arrives in pieces of up to size bytes.
type chunkedConn struct {
	net.Conn
	data []byte
	size int
}

func (c *chunkedConn) Read(b []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.data[:min(c.size, len(c.data))])
	c.data = c.data[n:]
	return n, nil
}

// FuzzRequests guards against requests that this package and net/http see at different places in the
// stream, by which one caller could pass a request off as another's. It compares the requests read
// through the wrapper, and those that the wrapper would start by itself, with those that
// http.ReadRequest reads from the same bytes.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n"), uint16(7))
	f.Fuzz(func(t *testing.T, data []byte, size uint16) {
		if len(data) > 2*maxReadAhead {
			return
		}
		direct := bufio.NewReader(bytes.NewReader(data))
		c := newConn(&chunkedConn{data: data, size: int(size) + 1}, New(nil, 1))
		wrapped := bufio.NewReader(c)
		rest := data
		for {
			want, wantBody, wantErr := readRequest(direct)
			got, gotBody, err := readRequest(wrapped)
			if (err == nil) != (wantErr == nil) {
				t.Fatalf("error %v through the wrapper, %v without", err, wantErr)
			}
			var started *http.Request
			if end := findHeadEnd(rest, 0); end >= 0 && c.state != unknownFraming {
				started = parseRequest(rest[:end])
			}
			if err != nil {
				if started != nil {
					t.Fatalf("%v is started, but ReadRequest returns %v", started, err)
				}
				return
			}
			if !reflect.DeepEqual(got, want) || !bytes.Equal(gotBody, wantBody) {
				t.Fatalf("%v with body %q through the wrapper, %v with %q without", got, gotBody, want, wantBody)
			}
			if started != nil && !reflect.DeepEqual(started, want) {
				t.Fatalf("%v is started, but ReadRequest returns %v", started, want)
			}
			if c.state == unknownFraming {
				continue
			}
			if c.state != complete || wrapped.Buffered() > 0 {
				t.Fatalf("state %d with %d bytes behind %v", c.state, wrapped.Buffered(), got)
			}
			rest = append(append([]byte{}, c.buf...), c.Conn.(*chunkedConn).data...)
			if left, _ := direct.Peek(min(len(rest), direct.Buffered())); !bytes.HasPrefix(rest, left) {
				t.Fatalf("%q follows through the wrapper, %q without", rest, left)
			}
		}
	})
}

// readRequest reads a request and its body. The body of the returned request is nil, so that requests
// can be compared.
func readRequest(r *bufio.Reader) (*http.Request, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(req.Body)
	if err == nil && req.Body != http.NoBody && len(body) == 0 {
		err = errors.Join(err, req.Body.Close())
	}
	if req.Body != http.NoBody {
		req.Body = nil
	}
	return req, body, err
}

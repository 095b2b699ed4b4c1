package wire_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/protocol/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Wire")
}

// read reads a response to a GET request, with its body.
func read(text string) (*http.Response, string, error) {
	resp, err := wire.NewResponseReader(strings.NewReader(text), 4<<10).ReadResponse(nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
)

// Guards against bytes that are no response and are taken for one.
var _ = DescribeTable("a malformed response is an error",
	func(text string) {
		_, _, err := read(text)
		Expect(err).To(HaveOccurred())
	},
	Entry("status 000", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("a status below 100", "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("a status above 599", "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("the highest status of three digits", "HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("a status with a sign", "HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("a negative status of zero", "HTTP/1.1 -00 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("a status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("a status that is not a number", "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("no status", "HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("a control character in the status line", "HTTP/1.1 200 O\x00K\r\nContent-Length: 0\r\n\r\n"),
	Entry("a lone CR in the status line", "HTTP/1.1 200 O\rK\r\nContent-Length: 0\r\n\r\n"),
	Entry("another major version", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("a version before 1.0", "HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("another protocol", "ICY/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("an unasked switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),

	Entry("a space at the end of a name", ok+"Content-Length : 4\r\n\r\nbody"),
	Entry("a space in a name", ok+"Content Length: 4\r\n\r\nbody"),
	Entry("a space in front of a name", ok+"X: 1\r\n Content-Length: 4\r\n\r\nbody"),
	Entry("a space in front of the first name", ok+" X: 1\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("a tab in a name", ok+"Content-Length\t: 4\r\n\r\nbody"),
	Entry("a tab in front of a name", ok+"X: 1\r\n\tContent-Length: 4\r\n\r\nbody"),
	Entry("a NUL in a name", ok+"X\x00: 1\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("a lone CR in a name", ok+"X\rY: 1\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("a DEL in a name", ok+"X\x7f: 1\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("a name beyond ASCII", ok+"X\xc3\xa9: 1\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("a separator in a name", ok+"X(Y): 1\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("an empty name", ok+": 1\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("no colon", ok+"X\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("a NUL in a value", ok+"X: a\x00b\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("a lone CR in a value", ok+"X: a\rContent-Length: 2\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("a control character in a value", ok+"X: a\x01b\r\nContent-Length: 4\r\n\r\nbody"),

	Entry("two different lengths", ok+"Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody"),
	Entry("a length with a sign", ok+"Content-Length: +4\r\n\r\nbody"),
	Entry("an empty length", ok+"Content-Length:\r\n\r\nbody"),
	Entry("a list of lengths", ok+"Content-Length: 4, 2\r\n\r\nbody"),
	Entry("chunks and a length", ok+"Content-Length: 4\r\n"+chunked+"\r\n"),
	Entry("chunks and a length after it", ok+"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
	Entry("chunks in version 1.0", "HTTP/1.0 200 OK\r\n"+chunked+"\r\n"),
	Entry("another transfer encoding", ok+"Transfer-Encoding: gzip\r\n\r\nbody"),
	Entry("chunks twice", ok+"Transfer-Encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),

	Entry("a length that is not reached", ok+"Content-Length: 5\r\n\r\nbody"),
	Entry("a last chunk that is missing", ok+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"),
	Entry("trailers that do not end", ok+chunked),
	Entry("a chunk that does not end", ok+"Transfer-Encoding: chunked\r\n\r\n5\r\nbody"),
	Entry("a chunk that is too long", ok+"Transfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n0\r\n\r\n"),
	Entry("a length of a chunk with a sign", ok+"Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n"),
	Entry("a length of a chunk that ends without CR", ok+"Transfer-Encoding: chunked\r\n\r\n4\nbody\r\n0\r\n\r\n"),
	Entry("a space in the name of a trailer", ok+chunked+"X Y: 1\r\n\r\n"),
	Entry("a space at the end of the name of a trailer", ok+chunked+"Content-Length : 1\r\n\r\n"),
	Entry("a control character in the name of a trailer", ok+chunked+"X\x01: 1\r\n\r\n"),
	Entry("a control character in the value of a trailer", ok+chunked+"X: \x01\r\n\r\n"),
	Entry("a trailer without a colon", ok+chunked+"X\r\n\r\n"),
	Entry("a space in the name of an announced trailer", ok+"Trailer: X Y\r\n"+chunked+"\r\n"),
)

// Guards against whole responses that are rejected.
var _ = DescribeTable("a whole response is accepted",
	func(text, expected string) {
		_, body, err := read(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(expected))
	},
	Entry("with a length", ok+"Content-Length: 4\r\n\r\nbody", "body"),
	Entry("with the same length twice", ok+"Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", "body"),
	Entry("in chunks", ok+chunked+"\r\n", "body"),
	Entry("in chunks with extensions", ok+"Transfer-Encoding: Chunked\r\n\r\n4;a=\"b\"\r\nbody\r\n0\r\n\r\n", "body"),
	Entry("in chunks with trailers", ok+"Trailer: X\r\n"+chunked+"X: 1\r\nY-Z: 2\r\n\r\n", "body"),
	Entry("without a length", ok+"\r\nbody", "body"),
	Entry("without a length or fields, in version 1.0", "HTTP/1.0 200 OK\r\n\r\nbody", "body"),
	Entry("without a reason", "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody", "body"),
	Entry("without a reason and a space", "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody", "body"),
	Entry("with a reason beyond ASCII", "HTTP/1.1 200 Tr\xc3\xa8s bien\r\nContent-Length: 4\r\n\r\nbody", "body"),
	Entry("with a tab in its reason", "HTTP/1.1 200 O\tK\r\nContent-Length: 4\r\n\r\nbody", "body"),
	Entry("with lines that end without CR", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", "body"),
	Entry("with all characters of a name", ok+"!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 4\r\n\r\nbody", "body"),
	Entry("with empty and padded values", ok+"X:\r\nY: \t a b\t \r\nContent-Length:4 \r\n\r\nbody", "body"),
	Entry("with a value beyond ASCII", ok+"X: \xe9\r\nContent-Length: 4\r\n\r\nbody", "body"),
	Entry("with the highest status", "HTTP/1.1 599 X\r\nContent-Length: 4\r\n\r\nbody", "body"),
	Entry("with no content", "HTTP/1.1 204 No Content\r\n\r\n", ""),
	Entry("with a head larger than the buffer", ok+"X: "+strings.Repeat("x", 20<<10)+"\r\nContent-Length: 4\r\n\r\nbody", "body"),
	Entry("whose body looks like a header", ok+"Content-Length: 16\r\n\r\nContent-Length :", "Content-Length :"),
)

// Guards against a response that is judged by the bytes of another one in the same buffer.
var _ = It("responses that arrive together are checked one by one", func() {
	reader := wire.NewResponseReader(strings.NewReader(ok+chunked+"\r\n"+ok+"Content-Length: 4\r\n\r\nnext"+ok+"X : 1\r\n\r\n"), 4<<10)
	for _, expected := range []string{"body", "next"} {
		resp, err := reader.ReadResponse(nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(expected))
	}
	_, err := reader.ReadResponse(nil)
	Expect(err).To(MatchError(wire.ErrMalformed))
})

package peers

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// When a process that forwards is killed, its connections end like those of a target that has sent
// everything. So the server sends what the target has sent in frames, and a frame without content once
// the target has closed its connection. The end of a tunnel without that frame says nothing about the
// target. Bytes to the target are not framed.

const (
	// frameHeaderBytes is the size of the length in front of a frame.
	frameHeaderBytes = 2
	// streamBufferBytes is the size of the client's buffer, in bytes.
	streamBufferBytes = 4 << 10
)

var tunnelsCut = metrics.GetOrCreateCounter("lycheehall_target_tunnels_cut_total")

// tunnelConn is the client's end of a tunnel. Its Read returns io.EOF only if the target has closed its
// connection, and io.ErrUnexpectedEOF if the tunnel has ended in any other way.
type tunnelConn struct {
	net.Conn
	// raw is the connection below encryption.
	raw    net.Conn
	reader *bufio.Reader
	// framed is false if the server does not send frames. Then the end of the target's connection cannot
	// be told from that of the tunnel.
	framed bool
	// left is the number of bytes of the current frame that have not been read.
	left int
	// err is the error that has ended the stream.
	err error
}

func newTunnelConn(secured, raw net.Conn, framed bool) *tunnelConn {
	return &tunnelConn{Conn: secured, raw: raw, reader: bufio.NewReaderSize(secured, streamBufferBytes), framed: framed}
}

// Read implements net.Conn.
func (c *tunnelConn) Read(b []byte) (int, error) {
	if c.framed && c.left == 0 && c.err == nil {
		c.err = c.readFrameHeader()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.framed {
		b = b[:min(len(b), c.left)]
	}
	n, err := c.reader.Read(b)
	if c.framed {
		c.left -= n
	}
	if errors.Is(err, io.EOF) {
		c.err = cutOff()
		return n, c.err
	}
	return n, err
}

// readFrameHeader reads the length of the next frame. It returns io.EOF at the end of the target's
// connection.
func (c *tunnelConn) readFrameHeader() error {
	var header [frameHeaderBytes]byte
	_, err := io.ReadFull(c.reader, header[:])
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return cutOff()
	case err != nil:
		return err
	}
	c.left = int(binary.BigEndian.Uint16(header[:]))
	if c.left == 0 {
		return io.EOF
	}
	return nil
}

func cutOff() error {
	tunnelsCut.Inc()
	return io.ErrUnexpectedEOF
}

// Unread reports whether bytes have been received that Read has not returned, or the stream has ended.
func (c *tunnelConn) Unread() bool { return c.left > 0 || c.reader.Buffered() > 0 || c.err != nil }

// NetConn returns the TCP connection.
func (c *tunnelConn) NetConn() net.Conn { return c.raw }

// frameWriter sends the bytes of a target as frames.
type frameWriter struct {
	to  io.Writer
	buf []byte
}

func newFrameWriter(to io.Writer) *frameWriter {
	return &frameWriter{to: to, buf: make([]byte, frameHeaderBytes+tunnelBufferBytes)}
}

// Write sends a frame. b has at most tunnelBufferBytes.
func (w *frameWriter) Write(b []byte) (int, error) {
	frame := append(binary.BigEndian.AppendUint16(w.buf[:0], uint16(len(b))), b...)
	if _, err := w.to.Write(frame); err != nil {
		return 0, err
	}
	return len(b), nil
}

// end sends the frame that says that the target has closed its connection.
func (w *frameWriter) end() error {
	_, err := w.Write(nil)
	return err
}

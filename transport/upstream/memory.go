package upstream

import (
	"errors"
	"sync/atomic"
)

const (
	// maxResponseBytes is the size of the largest response body, which is buffered in memory.
	maxResponseBytes = 64 << 20
	// freeBufferBytes is the largest buffer that a response gets whatever the others hold, so that
	// ordinary responses are delivered beside targets that send without end.
	freeBufferBytes = 256 << 10
)

// errNoMemory means that the responses being received hold all the memory for them.
var errNoMemory = errors.New("upstream: no memory for the response body")

// responseMemory limits the memory for the bodies of responses that are being received. It is safe for
// concurrent use.
type responseMemory struct {
	all, each atomic.Int64
	held      atomic.Int64
}

// LimitResponses limits the memory for the bodies of responses that are being received, in bytes: all
// together, and each. 0 means no limit on all together, and a fixed one on each.
func (c *Client) LimitResponses(all, each int64) {
	c.memory.all.Store(all)
	c.memory.each.Store(each)
}

func (m *responseMemory) maxBody() int64 {
	if each := m.each.Load(); each > 0 {
		return min(each, maxResponseBytes)
	}
	return maxResponseBytes
}

// responseBuffer is the memory of one response.
type responseBuffer struct{ size int64 }

// grow counts a buffer that replaces the former one.
func (b *responseBuffer) grow(m *responseMemory, size int64) error {
	held := m.held.Add(size - b.size)
	b.size = size
	if all := m.all.Load(); all > 0 && held > all && size > freeBufferBytes {
		return errNoMemory
	}
	return nil
}

func (b *responseBuffer) release(m *responseMemory) { m.held.Add(-b.size) }

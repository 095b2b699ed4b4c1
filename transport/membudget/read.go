package membudget

import (
	"errors"
	"io"
)

// ErrTooLarge is returned for a body that exceeds the limit of the reader.
var ErrTooLarge = errors.New("membudget: the body exceeds the size limit")

const (
	// maxFirstBytes is the largest buffer allocated before anything has been received. Larger bodies
	// get a larger buffer once this much has arrived, so that a wrong length costs no more.
	maxFirstBytes = 256 << 10
	// firstUnknownBytes is the first buffer of a body of unknown length.
	firstUnknownBytes = 4 << 10
	// growthFactor limits the buffer of a body of known length, in relation to what has arrived.
	growthFactor = 4
)

// ReadBody reads a body to its end. length is the length that its sender has announced; -1 if it has
// not. grow is called with the size of each buffer before it is allocated; an error of it ends the
// reading.
func ReadBody(r io.Reader, length, limit int64, grow func(size int64) error) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	size := int64(firstUnknownBytes)
	if length >= 0 {
		size = min(length, maxFirstBytes)
	}
	if err := grow(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			next := nextSize(int64(len(body)), length, limit)
			if err := grow(next); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return nil, ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// nextSize returns the size of the buffer that replaces a full one. A body of unknown length may have
// one byte beyond the limit, by which its excess is noticed.
func nextSize(received, length, limit int64) int64 {
	if length >= 0 {
		return min(growthFactor*received, length)
	}
	return min(2*received, limit+1)
}

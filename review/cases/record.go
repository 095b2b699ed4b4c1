package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run. It is safe for concurrent
// use.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// note writes a line that begins with the seconds since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A write error shows when the file is closed.
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.out.Flush()
	if closeErr := r.file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

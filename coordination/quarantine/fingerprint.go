package quarantine

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a request: requests with the same method, path, query and
// body have the same fingerprint, whatever their request IDs and through whichever instance they
// arrive.
// The host is left out, because a caller that addresses instances one by one puts a different name
// into each request.
type Fingerprint uint64

func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("quarantine: %q is not a fingerprint: %w", text, err)
	}
	return Fingerprint(f), nil
}

// Identity identifies a request and its caller.
type Identity struct {
	Fingerprint Fingerprint
	// Caller is the hash of the caller's address.
	Caller uint64
}

// IdentifyRequest returns the identity of a request whose body has been read.
func IdentifyRequest(r *http.Request, body []byte) Identity {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.RequestURI} {
		writePart(h, []byte(part))
	}
	writePart(h, body)
	return Identity{Fingerprint: Fingerprint(h.Sum64()), Caller: xxhash.Sum64String(CallerAddress(r))}
}

// writePart writes a part with its length, so that different lists of parts give different input.
func writePart(h *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	// Write of a Digest never fails.
	_, _ = h.Write(length[:])
	_, _ = h.Write(part)
}

// CallerAddress returns the address that a request comes from, without the port, which changes with
// each connection.
func CallerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

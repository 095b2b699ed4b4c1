package quarantine

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies what is asked for: requests with the same method, path, query and body have the
// same one, whatever their ids and through whichever instance they come. The host is left out: a caller
// that addresses instances one by one names each.
type Fingerprint uint64

func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint reads what String writes.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("quarantine: %q is no fingerprint: %w", text, err)
	}
	return Fingerprint(f), nil
}

// Identity says who asks for what.
type Identity struct {
	Fingerprint Fingerprint
	// Caller stands for the address that the request comes from.
	Caller uint64
}

// IdentifyRequest returns the identity of a request with a body that has been read.
func IdentifyRequest(r *http.Request, body []byte) Identity {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.RequestURI} {
		writePart(h, []byte(part))
	}
	writePart(h, body)
	return Identity{Fingerprint: Fingerprint(h.Sum64()), Caller: xxhash.Sum64String(CallerAddress(r))}
}

// writePart adds a part with its length, so that no two lists of parts look alike.
func writePart(h *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	// A digest's Write does not fail.
	_, _ = h.Write(length[:])
	_, _ = h.Write(part)
}

// CallerAddress returns the address from which a request comes, without the port, which changes from one
// connection to the next.
func CallerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

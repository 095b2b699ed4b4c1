package quarantine

import (
	"encoding/binary"
	"net"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies what a caller asks for: requests with the same method, host, path, query,
// caller and body have the same one, whatever their ids and through whichever instance they come.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request with a body that has been read.
func FingerprintOf(r *http.Request, body []byte) Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.RequestURI, CallerOf(r)} {
		writePart(h, []byte(part))
	}
	writePart(h, body)
	return Fingerprint(h.Sum64())
}

// writePart adds a part with its length, so that no two lists of parts look alike.
func writePart(h *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	// A digest's Write does not fail.
	_, _ = h.Write(length[:])
	_, _ = h.Write(part)
}

// CallerOf returns the address from which a request comes, without the port, which changes from one
// connection to the next.
func CallerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

package wire

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to a single connection and are never forwarded.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropConnectionHeaders removes hop-by-hop headers, including those that the Connection header names.
func DropConnectionHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1),
// and the lengths, which are written anew from the parsed message.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// answerOnly are the headers that only an entry may set on an answer.
var answerOnly = []string{
	wire.HeaderOutcome, wire.HeaderReason, wire.HeaderServer, wire.HeaderEntry,
}

// stripHopByHop removes the connection's own headers, those that Connection lists included.
func stripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// requestHeader returns the header for the server: the caller's without the
// connection's own, with the deadline made relative to now.
func requestHeader(r *http.Request, m tree.Match, deadline time.Time) http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	trailers := wantsTrailers(h)
	stripHopByHop(h)
	if trailers {
		h.Set("Te", "trailers")
	}
	if _, named := h["User-Agent"]; !named {
		h.Set("User-Agent", "") // keeps the transport from adding its own
	}
	if h.Get(wire.HeaderRank) == "" {
		h.Set(wire.HeaderRank, m.Rank.Name)
	}
	h.Del(wire.HeaderTimeoutMs)
	if !deadline.IsZero() {
		left := max(0, time.Until(deadline).Milliseconds())
		h.Set(wire.HeaderTimeoutMs, strconv.FormatInt(left, 10))
	}
	return h
}

func wantsTrailers(h http.Header) bool {
	for _, line := range h["Te"] {
		if strings.Contains(strings.ToLower(line), "trailers") {
			return true
		}
	}
	return false
}

// answerHeader strips from a server's answer what only the entry may say.
func answerHeader(h http.Header, loadReport string) {
	stripHopByHop(h)
	for _, name := range answerOnly {
		h.Del(name)
	}
	h.Del(loadReport)
}

func headerName(name, standard string) string {
	if name == "" {
		return standard
	}
	return name
}

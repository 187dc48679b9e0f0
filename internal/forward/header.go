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

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110,
// 7.6.1), and those of the message's length, which are set from the parsed message.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// entryOnlyHeaders are the headers that only an entry may set on a response.
var entryOnlyHeaders = []string{
	wire.HeaderOutcome, wire.HeaderReason, wire.HeaderServer, wire.HeaderEntry,
}

// stripHopByHop removes the hop-by-hop headers, including those listed in Connection.
func stripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// requestHeader returns the header for the server: the caller's without hop-by-hop
// headers, with the rank, and with the time left until the deadline.
func requestHeader(r *http.Request, m tree.Match, deadline time.Time) http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	acceptTrailers := acceptsTrailers(h)
	stripHopByHop(h)
	if acceptTrailers {
		h.Set("Te", "trailers")
	}
	if _, present := h["User-Agent"]; !present {
		h.Set("User-Agent", "") // stops the transport from adding its own
	}
	if h.Get(wire.HeaderRank) == "" {
		h.Set(wire.HeaderRank, m.Rank.Name)
	}
	h.Del(wire.HeaderTimeoutMs)
	if !deadline.IsZero() {
		remaining := max(0, time.Until(deadline).Milliseconds())
		h.Set(wire.HeaderTimeoutMs, strconv.FormatInt(remaining, 10))
	}
	return h
}

func acceptsTrailers(h http.Header) bool {
	for _, line := range h["Te"] {
		if strings.Contains(strings.ToLower(line), "trailers") {
			return true
		}
	}
	return false
}

// stripResponseHeader removes the headers that must not pass from a server to a
// caller: hop-by-hop headers, those that only an entry sets, the load report and the
// request limit.
func stripResponseHeader(h http.Header, loadReportHeader string) {
	stripHopByHop(h)
	for _, name := range entryOnlyHeaders {
		h.Del(name)
	}
	h.Del(loadReportHeader)
	h.Del(wire.HeaderRequestLimit)
	h.Del(wire.HeaderLeaving)
	h.Del(wire.HeaderWarmUp)
}

func headerName(name, defaultName string) string {
	if name == "" {
		return defaultName
	}
	return name
}

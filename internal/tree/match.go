package tree

import (
	"net"
	"net/url"
	"slices"
	"strings"
)

// Match holds the service, route and rank of a request.
type Match struct {
	Service *Service
	Route   *Route
	Rank    Rank
	// Tenant is the tenant of an authenticated request, otherwise nil.
	Tenant *Tenant
	// KeysRequired is set if the tree requires keys. The headers by which callers and entries name
	// a tenant must not be forwarded then as the caller sent them.
	KeysRequired bool

	weighted *HostRoute // nil unless a HostRoute matched
}

// PathOf returns the path of a request as Match takes it.
func PathOf(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path
	}
	return UnescapePath(u.EscapedPath())
}

// UnescapePath returns the path unescaped, but for escaped slashes, which stay "%2F": a slash that
// is escaped is part of a segment and does not end it. A segment without valid escapes stays as it
// is.
func UnescapePath(escaped string) string {
	segments := strings.Split(escaped, "/")
	for i, s := range segments {
		if plain, err := url.PathUnescape(s); err == nil {
			segments[i] = strings.ReplaceAll(plain, "/", "%2F")
		}
	}
	return strings.Join(segments, "/")
}

// Match returns the route of a request, or false if no route matches. The port of
// the host is ignored.
func (t *Tree) Match(host, method, path string) (Match, bool) {
	m, ok := t.match(host, method, path)
	m.KeysRequired = t.KeysRequired
	return m, ok
}

func (t *Tree) match(host, method, path string) (Match, bool) {
	name := hostName(host)
	if byPrefix, ok := t.hostIndex[name]; ok {
		return matchHostRoute(byPrefix, path)
	}
	for _, s := range t.Services {
		if !slices.Contains(s.Hosts, name) {
			continue
		}
		if m, ok := s.match(method, path); ok {
			return m, true
		}
	}
	return Match{}, false
}

func (s *Service) match(method, path string) (Match, bool) {
	for _, r := range s.Routes {
		if !r.matches(method, path) {
			continue
		}
		rank, ok := s.Rank(r.Rank)
		return Match{Service: s, Route: r, Rank: rank}, ok
	}
	return Match{}, false
}

func (r *Route) matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func hostName(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = host
	}
	return strings.ToLower(name)
}

// Destinations returns the services that share the calls of the matched route.
func (m Match) Destinations() []Destination {
	if m.weighted == nil {
		return []Destination{{Service: m.Service, Weight: 1}}
	}
	return m.weighted.Destinations
}

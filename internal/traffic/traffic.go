// Package traffic shows where an entry sends the requests of a route: the services that
// take it, and how the entry sees and uses each of their backend servers.
package traffic

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/service"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Path is where an entry serves its report, on its metrics address. The query parameters
// host, path and method select a route; without host the report has all services.
const Path = "/traffic"

// Report is what one entry reports.
type Report struct {
	// VM and Zone are the entry's, Revision is that of its configuration.
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Revision int64  `json:"revision"`
	// Route is the path prefix of the selected route, and Rank its rank.
	Route string `json:"route,omitempty"`
	Rank  string `json:"rank,omitempty"`
	// Services are those that take the route's requests, or all.
	Services []Service `json:"services"`
}

// Service is one destination of a route.
type Service struct {
	// Service is the key of the service.
	Service string `json:"service"`
	// Weight is the service's share of the route's requests, relative to the others.
	Weight int `json:"weight"`
	// Zones are the availability zones of its servers, the entry's own first, with the share of
	// requests that leaves; absent if servers report no slowdown or there is one zone.
	Zones []balancer.ZoneStatus `json:"zones,omitempty"`
	// Servers are sorted by the requests sent, the most first.
	Servers []balancer.ServerStatus `json:"servers"`
}

// Source is the state that a report is made of.
type Source struct {
	// VM and Zone are the entry's.
	VM, Zone string
	// Tree returns the current tree, nil before the first one.
	Tree func() *tree.Tree
	// Services holds the balancer of each service.
	Services *service.Set
}

// Handler returns the handler of the report. It responds with 503 while there is no
// configuration and with 404 if no route matches.
func (s Source) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(Path, func(c *gin.Context) {
		t := s.Tree()
		if t == nil {
			c.JSON(http.StatusServiceUnavailable, gin.H{"error": "this entry has no configuration yet"})
			return
		}
		report, ok := s.report(t, c.Query("host"), c.DefaultQuery("method", http.MethodGet), c.Query("path"), time.Now())
		if !ok {
			c.JSON(http.StatusNotFound, gin.H{"error": "no route of this configuration matches"})
			return
		}
		c.JSON(http.StatusOK, report)
	})
	return engine
}

// report returns the report for a route, or for all services if host is empty.
func (s Source) report(t *tree.Tree, host, method, path string, now time.Time) (*Report, bool) {
	report := &Report{VM: s.VM, Zone: s.Zone, Revision: t.Revision}
	if host == "" {
		for _, svc := range t.Services {
			report.Services = append(report.Services, s.service(svc.Key(), 1, now))
		}
		return report, true
	}
	m, ok := t.Match(host, method, path)
	if !ok {
		return nil, false
	}
	report.Route, report.Rank = m.Route.PathPrefix, m.Rank.Name
	for _, d := range m.Destinations() {
		report.Services = append(report.Services, s.service(d.Service.Key(), d.Weight, now))
	}
	return report, true
}

func (s Source) service(key string, weight int, now time.Time) Service {
	out := Service{Service: key, Weight: weight}
	if r, ok := s.Services.Get(key); ok {
		out.Servers, out.Zones = r.Balancer.Status(now), r.Balancer.ZoneStatuses()
	}
	slices.SortFunc(out.Servers, func(a, b balancer.ServerStatus) int {
		return cmp.Or(cmp.Compare(b.Sent, a.Sent), cmp.Compare(a.Server, b.Server))
	})
	return out
}

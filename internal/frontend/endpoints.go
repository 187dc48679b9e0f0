package frontend

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// endpointList is the JSON body that lists the entries that a caller should use, in
// order of preference.
type endpointList struct {
	Entries []membership.EntryAddress `json:"entries"`
	// TTLMs is how long the caller may cache the list, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
}

// newEndpointsEngine returns the gin engine for all paths under wire.PathPrefix.
func (h *Handler) newEndpointsEngine() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(wire.PathEntries, h.serveEndpoints)
	engine.NoRoute(func(c *gin.Context) {
		detail := "no such path under " + wire.PathPrefix
		h.refuse(c.Writer, outcome.NewNotRun(http.StatusNotFound, outcome.ReasonNoRoute, detail))
	})
	return engine
}

func (h *Handler) serveEndpoints(c *gin.Context) {
	caller := c.Query("caller")
	if caller == "" {
		caller = c.ClientIP()
	}
	entries := h.Addresses.View().Addresses(c.Query("zone"), caller, h.sameRegion)
	if len(entries) == 0 {
		detail := "no entry takes work now; ask another entry or try again"
		refusal := outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, detail)
		h.refuse(c.Writer, refusal.WithRetryAfter(configurationRetryAfter))
		return
	}
	c.JSON(http.StatusOK, endpointList{Entries: entries, TTLMs: h.AddressTTL.Milliseconds()})
}

// sameRegion reports whether two zones are in the same region of the current tree.
// Before the first tree all zones are.
func (h *Handler) sameRegion(zone, other string) bool {
	t := h.Tree.Tree()
	return t == nil || t.Regions.SameRegion(zone, other)
}

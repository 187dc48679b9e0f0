package frontend

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// addressAnswer tells a caller which entries to use, the first choice first.
type addressAnswer struct {
	Entries []membership.EntryAddress `json:"entries"`
	// TTLMs is how long the caller keeps the answer, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
}

// newAddressEngine returns the gin engine for all paths under wire.PathPrefix.
func (h *Handler) newAddressEngine() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(wire.PathEntries, h.serveAddresses)
	engine.NoRoute(func(c *gin.Context) {
		detail := "no such path under " + wire.PathPrefix
		h.refuse(c.Writer, outcome.NewNotRun(http.StatusNotFound, outcome.ReasonNoRoute, detail))
	})
	return engine
}

func (h *Handler) serveAddresses(c *gin.Context) {
	caller := c.Query("caller")
	if caller == "" {
		caller = c.ClientIP()
	}
	choices := h.Addresses.View().Addresses(c.Query("zone"), caller, h.near)
	if len(choices) == 0 {
		detail := "no entry takes work now; ask another entry or try again"
		refusal := outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, detail)
		h.refuse(c.Writer, refusal.WithRetryAfter(configurationRetry))
		return
	}
	c.JSON(http.StatusOK, addressAnswer{Entries: choices, TTLMs: h.AddressTTL.Milliseconds()})
}

// near asks the tree in force; before the first one all zones are near.
func (h *Handler) near(zone, other string) bool {
	t := h.Trees.Tree()
	return t == nil || t.Regions.SameRegion(zone, other)
}

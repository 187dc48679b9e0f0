// Package status serves the operators' pages of one entry: its state as JSON,
// its metrics, and whether it is alive and ready.
package status

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"chestnutrouter.example/chestnutrouter/internal/quota"
)

// Report is the state of an entry, as chestnutctl status prints it.
type Report struct {
	// VM and Zone are the entry's own.
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Incarnation is the random id of the process.
	Incarnation string `json:"incarnation"`
	// Offset is the applied offset of the config stream, -1 before the first.
	Offset int64 `json:"offset"`
	// Hash identifies the state at that offset.
	Hash string `json:"hash"`
	// Revision is the tree's revision in force.
	Revision int64 `json:"revision"`
	// Draining is set once the entry is shutting down.
	Draining bool `json:"draining"`
	// InFlight is the number of callers' requests in progress.
	InFlight int64 `json:"in_flight"`
	// Operations is the number of operations whose outcome is kept.
	Operations int `json:"operations"`
	// Entries are the live entries as this one sees them.
	Entries []Entry `json:"entries"`
	// Seats are the numbers of the seats that this entry holds.
	Seats []int `json:"seats"`
	// Limits are what this entry has of each voted limit.
	Limits []quota.LimitUsage `json:"limits"`
}

// Entry is one live entry as another one sees it.
type Entry struct {
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Offset      int64  `json:"offset"`
	Draining    bool   `json:"draining"`
}

// Source is where the pages get their facts.
type Source interface {
	// Report returns the present state.
	Report() Report
	// Ready reports whether the entry can serve callers.
	Ready() bool
}

// NewHandler returns the pages: /status, /metrics, /healthz and /readyz.
func NewHandler(source Source, metrics http.Handler) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, source.Report()) })
	engine.GET("/metrics", gin.WrapH(metrics))
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "alive\n") })
	engine.GET("/readyz", func(c *gin.Context) {
		if !source.Ready() {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	return engine
}

// Package status serves the operators' HTTP endpoints of one entry: its state
// as JSON, its metrics, and whether it is alive and ready.
package status

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"chestnutrouter.example/chestnutrouter/internal/quota"
)

// Report is the state of an entry, as chestnutctl status prints it.
type Report struct {
	// VM and Zone are the entry's VM name and availability zone.
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Incarnation is the random id of the process.
	Incarnation string `json:"incarnation"`
	// Offset is the last applied offset of the config stream, -1 before the
	// first.
	Offset int64 `json:"offset"`
	// Hash identifies the state at that offset.
	Hash string `json:"hash"`
	// Revision is the revision of the active tree.
	Revision int64 `json:"revision"`
	// Draining is true once the entry is shutting down.
	Draining bool `json:"draining"`
	// InFlight is the number of callers' requests in progress.
	InFlight int64 `json:"in_flight"`
	// Operations is the number of operations whose outcome is stored.
	Operations int `json:"operations"`
	// Entries lists the live entries in this entry's view.
	Entries []Entry `json:"entries"`
	// Seats lists the numbers of the seats that this entry holds.
	Seats []int `json:"seats"`
	// Limits lists this entry's part of each global limit.
	Limits []quota.LimitUsage `json:"limits"`
}

// Entry is a live entry in the view of another one.
type Entry struct {
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Offset      int64  `json:"offset"`
	Draining    bool   `json:"draining"`
}

// Source provides the state that the endpoints serve.
type Source interface {
	// Report returns the current state.
	Report() Report
	// Ready reports whether the entry can serve callers.
	Ready() bool
}

// NewHandler returns the handler of /status, /metrics, /healthz and /readyz.
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

package soak

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

const (
	// evacuationBound, quota and cold are the bounds of docs/design/overview.md.
	evacuationBound = 5 * time.Second
	quotaWindow     = 5 * time.Second
	quotaOver       = 0.1
	quotaSlack      = 20
	coldWindow      = time.Second
	coldOver        = 1.5
	coldSlack       = 8
)

// arrival is one run of a known request at a server.
type arrival struct {
	usersplatform.Run
	request *requestRecord
	server  *server
}

// checkPromises checks what holds for tenants, evacuated zones and cold servers.
func (w *world) checkPromises() {
	requests := map[string]*requestRecord{}
	for i := range w.checker.requests {
		s := &w.checker.requests[i]
		requests[s.id] = s
		w.checkRefusal(s)
	}
	var arrivals []arrival
	for _, server := range w.servers {
		var cold []arrival
		for _, run := range server.Runs() {
			s := requests[run.ID]
			if s == nil {
				continue // checkFinal reports it
			}
			a := arrival{run, s, server}
			arrivals = append(arrivals, a)
			w.checkTenant(a)
			w.checkEvacuation(a)
			if !server.proxy.wasHeld(run.At) {
				cold = append(cold, a)
			}
		}
		w.checkCold(server, cold)
	}
	w.logCoverage(arrivals)
	for _, t := range w.tenants {
		w.checkAllowance(t, arrivals)
	}
	w.checkLogs()
}

// logCoverage logs how much of the run the checks below saw.
func (w *world) logCoverage(arrivals []arrival) {
	revoked, statuses := 0, map[int]int{}
	for _, s := range w.checker.requests {
		if statuses[s.status]++; s.key.isRevoked(s.from) {
			revoked++
		}
	}
	cold := 0
	for _, a := range arrivals {
		if slices.ContainsFunc(a.server.colds, func(c interval) bool { return a.At.After(c.from) && a.At.Before(c.until) }) {
			cold++
		}
	}
	w.t.Logf("%d requests with revoked keys, %d evacuations, %d runs at cold servers, statuses %v", revoked, len(w.evacuations), cold, statuses)
}

// checkRefusal checks that a request with a valid key, within the allowance, is not refused as
// if it were not.
func (w *world) checkRefusal(s *requestRecord) {
	if s.status == http.StatusUnauthorized && !s.key.mayBeUnknown(s.from, s.to) {
		w.checker.addViolation("denied: %s at %s got status 401 with a valid key at %s", s.id, s.entry.name, s.from.Format(time.StampMilli))
	}
	if s.status == http.StatusTooManyRequests && s.key.tenant != tenantSurge {
		w.checker.addViolation("denied: %s of tenant %s at %s got status 429 at %s", s.id, s.key.tenant, s.entry.name, s.from.Format(time.StampMilli))
	}
}

// checkTenant checks what the server was told of the tenant, and that its key was valid.
func (w *world) checkTenant(a arrival) {
	key := a.request.key
	isLate := key.isRevoked(a.request.from)
	hasTenant := slices.Equal(a.Tenant, []string{key.tenant})
	if len(a.Authorization) > 0 {
		w.checker.addViolation("key: %s reached %s with Authorization", a.ID, a.Server)
	}
	if len(a.Tenant) == 0 && a.request.public {
		return
	}
	if !hasTenant {
		w.checker.addViolation("tenant: %s of %s reached %s with the tenants %q", a.ID, key.tenant, a.Server, a.Tenant)
	}
	if isLate {
		w.checker.addViolation("revocation: %s at %s ran at %s as of %q, and was sent at %s with a key removed at %s", a.ID, a.request.entry.name,
			a.Server, a.Tenant, a.request.from.Format(time.StampMilli), key.removed.Format(time.StampMilli))
	}
}

// checkEvacuation checks that no entry in contact sends to an evacuated zone. Entries are out of
// contact while they are paused, and with the store while it is down for all of them.
func (w *world) checkEvacuation(a arrival) {
	for _, e := range w.evacuations {
		deadline := e.from.Add(evacuationBound)
		for _, down := range w.storeDown {
			if down.until.After(e.from) && down.from.Before(deadline) {
				deadline = later(deadline, down.until.Add(evacuationBound))
			}
		}
		if e.zone == a.server.Zone && a.At.After(deadline) && a.At.Before(e.until) &&
			!a.server.proxy.wasHeld(a.At) && !a.request.entry.wasDisrupted(a.request.from, a.At) {
			w.checker.addViolation("evacuation: %s at %s ran at %s in zone %s %v after its evacuation", a.ID, a.request.entry.name, a.Server, e.zone, a.At.Sub(e.from))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkCold checks the rate at which requests arrived at the server while it was cold.
func (w *world) checkCold(s *server, arrivals []arrival) {
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.At.Compare(b.At) })
	for _, cold := range s.colds {
		most, at := 0, time.Time{}
		for i, first := range arrivals {
			n := 0
			for _, a := range arrivals[i:] {
				if a.At.Sub(first.At) < coldWindow && a.At.Before(cold.until) && !first.At.Before(cold.from) {
					n++
				}
			}
			if n > most {
				most, at = n, first.At
			}
		}
		w.t.Logf("cold %s got at most %d requests in any second", s.Name, most)
		if float64(most) > warmUpPerSecond*coldOver+coldSlack {
			w.checker.addViolation("cold: %s got %d requests in a second from %s on, cold since %s", s.Name, most, at.Format(time.StampMilli), cold.from.Format(time.StampMilli))
		}
	}
}

// checkAllowance checks how many requests of the tenant were sent and ran in any window. A lower
// limit counts when it is in force everywhere. A request that two servers ran counts once.
func (w *world) checkAllowance(t *tenant, arrivals []arrival) {
	ranAt := map[*requestRecord]time.Time{} // first run
	for _, a := range arrivals {
		if at, known := ranAt[a.request]; a.request.key.tenant == t.name && !a.request.public && (!known || a.At.Before(at)) {
			ranAt[a.request] = a.At
		}
	}
	var sent []*requestRecord
	for s := range ranAt {
		sent = append(sent, s)
	}
	slices.SortFunc(sent, func(a, b *requestRecord) int { return a.from.Compare(b.from) })
	fullest := 0.0
	for i, first := range sent {
		allowed := t.allowed(first.from)
		if allowed == 0 {
			continue
		}
		n := 0
		for _, s := range sent[i:] {
			if ranAt[s].Sub(first.from) <= quotaWindow {
				n++
			}
		}
		fullest = max(fullest, float64(n)/allowed)
		if float64(n) > allowed {
			w.checker.addViolation("allowance: %d requests of %s were sent and ran within %v from %s on, allowed are %.0f", n, t.name, quotaWindow, first.from.Format(time.StampMilli), allowed)
			return
		}
	}
	w.t.Logf("tenant %s used at most %.2f of what any %v may have", t.name, fullest, quotaWindow)
}

// allowed returns how many requests may be sent and run in the window that begins then, zero
// without a limit.
func (t *tenant) allowed(begin time.Time) float64 {
	most := 0.0
	for i, l := range t.limits {
		isOver := i+1 < len(t.limits) && t.limits[i+1].from.Add(revokeBound).Before(begin)
		if isOver || l.from.After(begin.Add(quotaWindow)) || l.rate == 0 {
			continue
		}
		most = max(most, (l.rate*quotaWindow.Seconds()+l.burst)*(1+quotaOver)+quotaSlack)
	}
	return most
}

// checkLogs checks that no entry logged a key.
func (w *world) checkLogs() {
	logs, err := filepath.Glob(filepath.Join(w.dir, "*.log"))
	if err != nil || len(logs) == 0 {
		w.t.Errorf("no logs of entries in %s: %v", w.dir, err)
	}
	for _, name := range logs {
		log, err := os.ReadFile(name)
		if err != nil {
			w.t.Error(err)
		}
		if strings.Contains(string(log), keyPrefix) {
			w.checker.addViolation("log: %s has a key", filepath.Base(name))
		}
	}
}

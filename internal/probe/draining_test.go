package probe

import (
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

func TestDrainingServerIsProbedUntilItServesAgain(t *testing.T) {
	draining := []fleet.VM{{Name: "shop-1"}, {Name: "shop-2"}}
	var serving []string
	source := &DrainingSource{
		Draining:  func() []fleet.VM { return draining },
		OnServing: func(server string) { serving = append(serving, server) },
	}
	now := time.Unix(0, 0).Add(time.Hour)
	for _, want := range []string{"shop-1", "shop-2", ""} {
		if vm, _ := source.ProbeNext(now); vm.Name != want {
			t.Errorf("probe of %q, want %q", vm.Name, want)
		}
	}
	source.ProbeSucceeded("shop-1", now, balancer.Report{Draining: true})
	source.ProbeFailed("shop-1", now)
	source.ProbeSucceeded("shop-2", now, balancer.Report{})
	if len(serving) != 1 || serving[0] != "shop-2" {
		t.Errorf("OnServing called for %v, want only shop-2", serving)
	}
	draining = draining[:1]
	if vm, _ := source.ProbeNext(now.Add(drainingInterval)); vm.Name != "shop-1" {
		t.Errorf("probe of %q after drainingInterval, want shop-1", vm.Name)
	}
}

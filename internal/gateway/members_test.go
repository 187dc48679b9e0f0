package gateway

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/service"
)

// Pattern: a large fleet starts, and members come by ones. They are put in force
// together some times a second, as that takes time for each member and server.
func TestMembersThatComeByOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		events := eventlog.New(&out, log.InfoLevel)
		set := service.NewSet(service.Options{VM: "vm-0", Zone: "z", Scope: tally.NoopScope, Workers: admission.NewWorkers()})
		w := &wiring{self: "vm-0", services: set, events: events}
		v := &cluster.View{}
		const members, rounds = 30, 31
		for i := range rounds {
			if i < members {
				v = &cluster.View{Live: append(append([]cluster.LiveMember(nil), v.Live...), cluster.LiveMember{Status: cluster.Status{Ready: true}})}
				w.changed(v)
			}
			w.putMembers(time.Now())
			time.Sleep(roundInterval)
		}
		time.Sleep(membersInterval)
		w.putMembers(time.Now())
		events.Close()
		lines := strings.Count(out.String(), "members changed")
		if most := int(rounds*roundInterval/membersInterval) + 2; lines > most {
			t.Errorf("put in force %d times, at most %d", lines, most)
		}
		if !strings.Contains(out.String(), `"live":30`) {
			t.Errorf("the last members are not in force:\n%s", out.String())
		}
	})
}

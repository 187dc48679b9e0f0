package storesync

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// startTolerance is how far the clocks of a server and of this VM may differ, and how long a
// record may be on its way.
const startTolerance = 5 * time.Second

// knownWarmUp returns the server with the end of its warm-up as far as the record says something
// about it. A record tells how much is left when it is written, and stays as it is afterwards, so
// one that is read again or for the first time may be from long ago.
func (r *serverRow) knownWarmUp(old *serverRow, from serverSource) fleet.VM {
	vm := r.vm
	switch {
	case vm.WarmUntil == 0:
	case old != nil && vm.Incarnation != 0 && old.incarnation == vm.Incarnation && vm.Sequence <= old.sequence:
		vm.WarmUntil = old.vm.WarmUntil // not written since
	case from.first && vm.StartedAt != 0:
		left := vm.WarmUntil - steady.Millis(time.Now())
		if age := time.Now().UnixMilli() - vm.StartedAt; age > left+startTolerance.Milliseconds() {
			vm.WarmUntil = 0
		}
	}
	return vm
}

package service

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// A request waits as all slots are taken, and one server's zone is evacuated. Slots that are freed
// there must not be given to it: it goes to the other server, and so does a retry or a hedge that
// may go to any server but that one, which is to say nowhere.
func TestQueuedRequestsLeaveAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSet()
		ctx, cancel := context.WithCancel(t.Context())
		go s.options.Workers.Run(ctx, 1)
		defer cancel()
		shop := testService("shop", "urgent")
		s.SetTree(&tree.Tree{Services: []*tree.Service{shop}})
		servers := testServers(shop.Key())
		s.SetServers(serverList{shop.Key(): servers})
		r, _ := s.Get(shop.Key())
		taken := map[string][]*balancer.Reservation{}
		for {
			reservation, ok := r.Balancer.Pick(time.Now(), nil)
			if !ok {
				break
			}
			taken[reservation.VM.Name] = append(taken[reservation.VM.Name], reservation)
		}
		request := admission.Request{Rank: "urgent", Deadline: time.Now().Add(time.Minute)}
		grants := make(chan *admission.Grant, 1)
		go func() {
			grant, _ := r.Queue.Admit(ctx, request)
			grants <- grant
		}()
		synctest.Wait()
		servers[1].State = fleet.Evacuated
		s.SetServers(serverList{shop.Key(): servers})
		for _, reservation := range taken["b"] {
			r.Balancer.Done(reservation, time.Now(), balancer.Result{Kind: balancer.OK, Latency: time.Millisecond})
		}
		time.Sleep(time.Second)
		select {
		case grant := <-grants:
			t.Fatalf("the request went to %s, want it to wait for server a", grant.Reservation.VM.Name)
		default:
		}
		r.Balancer.Done(taken["a"][0], time.Now(), balancer.Result{Kind: balancer.OK, Latency: time.Millisecond})
		if grant := <-grants; grant == nil || grant.Reservation.VM.Name != "a" {
			t.Fatalf("got %+v, want a slot of server a", grant)
		}
		request.Exclude = []string{"a"}
		if grant, refusal := r.Queue.Admit(ctx, request); grant != nil || refusal == nil {
			t.Errorf("a second attempt got %+v, want a refusal: no server is left", grant)
		}
	})
}

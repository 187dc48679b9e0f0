package cluster

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

func viewOf(members ...LiveMember) *View {
	v := &View{Live: members, Known: len(members)}
	for i := range v.Live {
		v.Live[i].idHash = idHashOf(v.Live[i].Member)
	}
	v.computeHashes()
	return v
}

func member(n, zones int) LiveMember {
	return LiveMember{
		Member: Member{VM: fmt.Sprintf("vm-%d", n), Zone: fmt.Sprintf("zone-%d", n%zones), CallerAddress: fmt.Sprintf("c-%d", n)},
		Status: Status{Ready: true},
	}
}

// expectedReaders returns the order of readers by its definition: by score, but the
// second is the best one of another zone than the first.
func expectedReaders(v *View) []LiveMember {
	var ranked []LiveMember
	for _, m := range v.Live {
		if !m.Leaving {
			ranked = append(ranked, m)
		}
	}
	keyHash := xxhash.Sum64String(readersKey)
	slices.SortFunc(ranked, func(a, b LiveMember) int {
		return cmp.Compare(score(b.nameHash(), keyHash), score(a.nameHash(), keyHash))
	})
	for i := 1; i < len(ranked); i++ {
		if ranked[i].Zone != ranked[0].Zone {
			second := ranked[i]
			return slices.Insert(slices.Delete(ranked, i, i+1), 1, second)
		}
	}
	return ranked
}

// While all members are leaving, none is assigned as the first reader of the store, and
// none is listed in the endpoint list for callers.
func TestNoReaderWhereAllLeave(t *testing.T) {
	m := member(1, 2)
	m.Leaving = true
	v := viewOf(m)
	if v.ReaderPosition("vm-1") == 0 {
		t.Error("the leaving member is the first reader of the store, want none")
	}
	if len(v.CallerAddresses()) != 0 {
		t.Error("a leaving member is in the endpoint list for callers, want none")
	}
}

func TestReadersAreOfTwoZones(t *testing.T) {
	for zones := 1; zones <= 3; zones++ {
		for n := 1; n < 30; n++ {
			var members []LiveMember
			for i := range n {
				m := member(i, zones)
				m.Leaving = i%7 == 3
				members = append(members, m)
			}
			v := viewOf(members...)
			want := expectedReaders(v)
			if zones > 1 && len(want) > zones && want[0].Zone == want[1].Zone {
				t.Fatalf("%d members in %d zones: both readers are in %s, want two zones", n, zones, want[0].Zone)
			}
			for position, m := range want {
				if got := v.ReaderPosition(m.VM); got != position {
					t.Errorf("%d members in %d zones: %s has position %d, want %d", n, zones, m.VM, got, position)
				}
			}
		}
	}
}

// Keys are assigned about evenly over the members of their zone, and to some member if
// the zone has none.
func TestKeysAreAssignedEvenlyInTheirZone(t *testing.T) {
	var members []LiveMember
	for i := range 12 {
		members = append(members, member(i, 3))
	}
	v := viewOf(members...)
	counts := map[string]int{}
	for s := range 120 {
		zone := fmt.Sprintf("zone-%d", s%3)
		owner, ok := v.Owner(fmt.Sprintf("server-%d", s), zone)
		if !ok || owner.Zone != zone {
			t.Fatalf("server-%d in %s has owner %+v, want one of its zone", s, zone, owner)
		}
		counts[owner.VM]++
	}
	for vm, n := range counts {
		if n > 24 {
			t.Errorf("%s owns %d of 120 servers, want at most 24", vm, n)
		}
	}
	if owner, ok := v.Owner("server", "elsewhere"); !ok || owner.VM == "" {
		t.Error("a server in a zone without members has no owner, want any member")
	}
}

// An isolated member, to which all others are silent, also hands out the addresses of the silent
// members, as callers may reach them, but not for longer than it may list one that is lost. A member
// that hears another one does not, however many are silent.
func TestIsolatedMemberListsSilentMembers(t *testing.T) {
	now := time.Now()
	silent := func(i int, silence time.Duration) LiveMember {
		m := member(i, 2)
		m.LastSeen = now.Add(-silence)
		return m
	}
	isolated := []LiveMember{member(0, 2)}
	few := []LiveMember{member(0, 2), member(1, 2)}
	for _, c := range []struct {
		live    []LiveMember
		silence time.Duration
		want    int
	}{
		{isolated, livenessTimeout, 4},
		{isolated, maxListedSilence, 4},
		{isolated, maxListedSilence + time.Millisecond, 1},
		{few, livenessTimeout, 2},
		{few, maxListedSilence + time.Millisecond, 2},
	} {
		v := viewOf(c.live...)
		v.computedAt = now
		v.Silent = []LiveMember{silent(2, c.silence), silent(3, c.silence), silent(4, c.silence)}
		if got := v.CallerAddresses(); len(got) != c.want {
			t.Errorf("%d members live, 3 silent for %v: caller addresses %v, want %d", len(c.live), c.silence, got, c.want)
		}
	}
}

// In the order of a server's senders the entries of its availability zone come first, each
// position is taken once, and members that are leaving or not ready come after all others.
func TestLocalPosition(t *testing.T) {
	var members []LiveMember
	for i := range 20 {
		m := member(i, 4)
		m.Leaving, m.Ready = i == 3, i != 7
		members = append(members, m)
	}
	v := viewOf(members...)
	if got := v.ReadyMembers(); got != 18 {
		t.Fatalf("%d ready members, want 18", got)
	}
	firsts := map[string]bool{}
	for _, key := range []string{"s1", "s2", "s3", "s4", "s5"} {
		taken := map[int]bool{}
		for _, m := range members {
			position := v.LocalPosition(m.VM, key, "zone-1")
			switch {
			case m.Leaving || !m.Ready:
				if position != 18 {
					t.Errorf("%s is leaving or not ready and has position %d, want 18", m.VM, position)
				}
				continue
			case (m.Zone == "zone-1") != (position < 5):
				t.Errorf("%s of %s has position %d, want the 5 entries of zone-1 first", m.VM, m.Zone, position)
			}
			taken[position] = true
			if position == 0 {
				firsts[m.VM] = true
			}
		}
		if len(taken) != 18 {
			t.Errorf("%d positions for 18 entries", len(taken))
		}
	}
	if len(firsts) < 2 {
		t.Error("one entry is the first for all keys, want them spread")
	}
}

// Each entry of a zone has a rank of its own, so that they prefer different servers. Members
// that are leaving or not ready take none, except for the entry itself.
func TestZoneRank(t *testing.T) {
	var members []LiveMember
	for i := range 20 {
		m := member(i, 4)
		m.Leaving, m.Ready = i == 5, i != 9
		members = append(members, m)
	}
	v := viewOf(members...)
	taken := map[int]bool{}
	for _, i := range []int{1, 13, 17} {
		rank, n := v.ZoneRank(members[i].VM)
		if n != 3 || rank < 0 || rank >= n {
			t.Errorf("%s has rank %d of %d, want one of 3", members[i].VM, rank, n)
		}
		taken[rank] = true
	}
	if len(taken) != 3 {
		t.Errorf("%d ranks for 3 entries", len(taken))
	}
	if rank, n := v.ZoneRank(members[9].VM); n != 4 || rank >= n {
		t.Errorf("an entry that is not ready has rank %d of %d, want one of 4", rank, n)
	}
}

// Load: the endpoint list of 200 entries has 64 addresses, and six entries have seven times the CPU of the
// others. Callers choose any address alike, so the strong ones must be on nearly all lists, the
// others on equally many, and none on a list twice.
func TestSampleOfCallerAddresses(t *testing.T) {
	const lists, size = 2000, 64
	var members []LiveMember
	for i := range 200 {
		m := member(i, 3)
		m.Weight = 0.112
		if i < 6 {
			m.Weight = 0.8
		}
		members = append(members, m)
	}
	v := viewOf(members...)
	counts := map[string]int{}
	for range lists {
		addresses := v.SampleCallerAddresses(size)
		slices.Sort(addresses)
		if len(slices.Compact(slices.Clone(addresses))) != size {
			t.Fatalf("%d addresses, want %d different ones", len(addresses), size)
		}
		for _, address := range addresses {
			counts[address]++
		}
	}
	for i, m := range members {
		share := float64(counts[m.CallerAddress]) / lists
		if i < 6 && share < 0.8 {
			t.Errorf("strong entry %d is on %.2f of the lists, want nearly all", i, share)
		}
		if i >= 6 && (share < 0.2 || share > 0.42) {
			t.Errorf("entry %d is on %.2f of the lists, want about 0.3", i, share)
		}
	}
	if got := viewOf(members[:10]...).SampleCallerAddresses(size); len(got) != 10 {
		t.Errorf("%d addresses of 10 entries, want all", len(got))
	}
}

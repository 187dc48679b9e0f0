package cluster

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

func viewOf(members ...LiveMember) *View {
	v := &View{Live: members, Known: len(members)}
	for i := range v.Live {
		v.Live[i].mark = markOf(v.Live[i].Member)
	}
	v.sum()
	return v
}

func member(n, zones int) LiveMember {
	return LiveMember{
		Member: Member{VM: fmt.Sprintf("vm-%d", n), Zone: fmt.Sprintf("zone-%d", n%zones), CallerAddress: fmt.Sprintf("c-%d", n)},
		Status: Status{Ready: true},
	}
}

// readers is the order of readers as it is defined: by score, with the first of
// another zone as the second.
func readers(v *View) []LiveMember {
	var ranked []LiveMember
	for _, m := range v.Live {
		if !m.Leaving {
			ranked = append(ranked, m)
		}
	}
	hash := xxhash.Sum64String(readersKey)
	slices.SortFunc(ranked, func(a, b LiveMember) int {
		return cmp.Compare(score(b.nameHash(), hash), score(a.nameHash(), hash))
	})
	for i := 1; i < len(ranked); i++ {
		if ranked[i].Zone != ranked[0].Zone {
			second := ranked[i]
			return slices.Insert(slices.Delete(ranked, i, i+1), 1, second)
		}
	}
	return ranked
}

// A fleet in which every member leaves has no reader; nobody may rely on one.
func TestNoReaderWhereAllLeave(t *testing.T) {
	m := member(1, 2)
	m.Leaving = true
	v := viewOf(m)
	if v.ReaderPosition("vm-1") == 0 {
		t.Error("a member that leaves is the first reader")
	}
	if len(v.CallerAddresses()) != 0 {
		t.Error("a leaving member is named to callers")
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
			want := readers(v)
			if zones > 1 && len(want) > zones && want[0].Zone == want[1].Zone {
				t.Fatalf("%d members of %d zones: both readers are in %s", n, zones, want[0].Zone)
			}
			for rank, m := range want {
				if got := v.ReaderPosition(m.VM); got != rank {
					t.Errorf("%d members of %d zones: %s has rank %d, want %d", n, zones, m.VM, got, rank)
				}
			}
		}
	}
}

// Duties are dealt about evenly, in the zone, and by one member each.
func TestOwners(t *testing.T) {
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
			t.Fatalf("server-%d in %s has owner %+v", s, zone, owner)
		}
		counts[owner.VM]++
	}
	for vm, n := range counts {
		if n > 24 {
			t.Errorf("%s owns %d of 120", vm, n)
		}
	}
	if owner, ok := v.Owner("server", "elsewhere"); !ok || owner.VM == "" {
		t.Error("a server of a zone without members has no owner")
	}
}

// A member that hears hardly anybody names those too that it heard a while ago.
func TestCutOffMemberNamesTheOthers(t *testing.T) {
	v := viewOf(member(0, 2))
	v.Silent = []LiveMember{member(1, 2), member(2, 2)}
	if got := v.CallerAddresses(); len(got) != 3 {
		t.Errorf("cut off: %v", got)
	}
	v = viewOf(member(0, 2), member(1, 2), member(2, 2))
	v.Silent = []LiveMember{member(3, 2)}
	if got := v.CallerAddresses(); len(got) != 3 {
		t.Errorf("one of four is silent: %v", got)
	}
}

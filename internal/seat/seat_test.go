package seat

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func TestApply(t *testing.T) {
	held, err := Table{}.Apply(3, Claim{Seat: 1, Incarnation: "a", VM: "vm1"}, 4)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name  string
		claim Claim
		want  error
	}{
		{"free seat", Claim{Seat: 0, Incarnation: "b", VM: "vm2"}, nil},
		{"held seat with its holder", Claim{Seat: 1, Incarnation: "b", VM: "vm2", Previous: "a"}, nil},
		{"given up", Claim{Seat: 1, Previous: "a"}, nil},
		{"held seat taken for free", Claim{Seat: 1, Incarnation: "b", VM: "vm2"}, new(ConflictError)},
		{"held seat with another holder", Claim{Seat: 1, Incarnation: "b", VM: "vm2", Previous: "c"}, new(ConflictError)},
		{"free seat with a holder", Claim{Seat: 2, Incarnation: "b", VM: "vm2", Previous: "a"}, new(ConflictError)},
		{"below the range", Claim{Seat: -1, Incarnation: "b", VM: "vm2"}, new(RangeError)},
		{"above the range", Claim{Seat: 4, Incarnation: "b", VM: "vm2"}, new(RangeError)},
		{"replaces itself", Claim{Seat: 1, Incarnation: "a", VM: "vm1", Previous: "a"}, new(InvalidClaimError)},
		{"no VM", Claim{Seat: 0, Incarnation: "b"}, new(InvalidClaimError)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next, err := held.Apply(9, test.claim, 4)
			if reflect.TypeOf(err) != reflect.TypeOf(test.want) {
				t.Fatalf("got %v, want %T", err, test.want)
			}
			if err != nil && !reflect.DeepEqual(next, held) {
				t.Error("a rejected claim changed the table")
			}
			if h, _ := held.Holder(1); h.Incarnation != "a" {
				t.Error("Apply changed its receiver")
			}
		})
	}
}

func TestReusedMarksSeatsHeldBefore(t *testing.T) {
	var table Table
	var err error
	claims := []Claim{
		{Seat: 0, Incarnation: "a", VM: "vm1"},
		{Seat: 0, Previous: "a"},
		{Seat: 0, Incarnation: "b", VM: "vm2"},
	}
	for i, c := range claims {
		if table, err = table.Apply(int64(i), c, 1); err != nil {
			t.Fatal(err)
		}
		h, _ := table.Holder(0)
		if want := i > 0; h.Reused != want {
			t.Errorf("claim %d: reused %v, want %v", i, h.Reused, want)
		}
	}
}

func TestSizesKeepWhatSomeEntryMayStillApply(t *testing.T) {
	table := Table{}.Resize(5, 3).Resize(8, 3).Resize(10, 4).Resize(20, 2)
	tests := []struct {
		applied int64
		want    []int
	}{{-1, []int{3, 4, 2}}, {9, []int{3, 4, 2}}, {10, []int{4, 2}}, {19, []int{4, 2}}, {20, []int{2}}, {30, []int{2}}}
	for _, test := range tests {
		if got := table.SeatCounts(test.applied); !reflect.DeepEqual(got, test.want) {
			t.Errorf("seat counts after applied offset %d: got %v, want %v", test.applied, got, test.want)
		}
	}
}

// TestTableAgainstReferenceModel compares the table with a reference model, a plain map with the same
// rules, and checks that the table survives a round trip through JSON.
func TestTableAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const seats = 3
		names := []string{"", "a", "b", "c"}
		var table Table
		want := make(map[int]string)
		for offset := range int64(rapid.IntRange(1, 40).Draw(t, "records")) {
			c := Claim{
				Seat:        rapid.IntRange(-1, seats).Draw(t, "seat"),
				Incarnation: rapid.SampledFrom(names).Draw(t, "incarnation"),
				Previous:    rapid.SampledFrom(names).Draw(t, "previous"),
			}
			if c.Incarnation != "" {
				c.VM = "vm-" + c.Incarnation
			}
			next, err := table.Apply(offset, c, seats)
			ok := c.Seat >= 0 && c.Seat < seats && want[c.Seat] == c.Previous && c.Incarnation != c.Previous
			if ok != (err == nil) {
				t.Fatalf("claim %+v on holders %v: got error %v", c, want, err)
			}
			if ok {
				want[c.Seat] = c.Incarnation
			}
			table = next
		}
		for seat := range seats {
			if h, _ := table.Holder(seat); h.Incarnation != want[seat] {
				t.Fatalf("seat %d: got holder %q, want %q", seat, h.Incarnation, want[seat])
			}
		}
		data, err := json.Marshal(table)
		var decoded Table
		if err := errors.Join(err, json.Unmarshal(data, &decoded)); err != nil {
			t.Fatal(err)
		}
		reencoded, _ := json.Marshal(decoded)
		if string(reencoded) != string(data) {
			t.Fatalf("after a round trip, %s became %s", data, reencoded)
		}
	})
}

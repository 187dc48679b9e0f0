package tree

import (
	"slices"
	"testing"
)

func TestRegions(t *testing.T) {
	r := newRegions([]RegionDocument{{Name: "ghent", Zones: []string{"a", "b"}}, {Name: "island", Zones: []string{"c"}}})
	for _, c := range []struct {
		zone, other string
		same        bool
	}{{"a", "b", true}, {"a", "c", false}, {"x", "y", true}, {"a", "x", false}} {
		if r.SameRegion(c.zone, c.other) != c.same {
			t.Errorf("SameRegion(%s, %s): got %v, want the opposite", c.zone, c.other, !c.same)
		}
	}
}

func TestRegionFindings(t *testing.T) {
	var found []string
	report := func(path, _ string) { found = append(found, path) }
	checkRegions([]RegionDocument{
		{Name: "ghent", Zones: []string{"a", ""}},
		{Name: "ghent", Zones: []string{"a"}},
	}, report)
	want := []string{"regions[0].zones[1]", "regions[1].zones[0]", "regions[1].name"}
	if !slices.Equal(found, want) {
		t.Errorf("findings at %v, want %v", found, want)
	}
}

package tree

import (
	"fmt"
	"slices"
)

// Regions maps an availability zone to its region. It is immutable.
type Regions map[string]string

// SameRegion reports whether two availability zones are in the same region. All
// zones that are in no declared region count as one region.
func (r Regions) SameRegion(zone, other string) bool { return r[zone] == r[other] }

func newRegions(docs []RegionDocument) Regions {
	r := make(Regions)
	for _, d := range docs {
		for _, zone := range d.Zones {
			r[zone] = d.Name
		}
	}
	return r
}

// checkRegions checks the names of regions and zones, and that each occurs once.
func checkRegions(docs []RegionDocument, report reporter) {
	var names, zones []string
	for i, d := range docs {
		names = append(names, d.Name)
		for j, zone := range d.Zones {
			at := fmt.Sprintf("regions[%d].zones[%d]", i, j)
			if zone == "" {
				report(at, "expected the name of an availability zone")
			}
			if slices.Contains(zones, zone) {
				report(at, fmt.Sprintf("duplicate availability zone %q", zone))
			}
			zones = append(zones, zone)
		}
	}
	checkNames(names, "regions[%d]", ".name", report)
}

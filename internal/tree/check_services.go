package tree

import "fmt"

// checkServices checks the routes of each service against the ranks, and its hosts
// against those of other services.
func (b *builder) checkServices() {
	owners := make(map[string]Branch) // by host
	for _, branch := range b.branches {
		if branch.Level() != LevelService {
			continue
		}
		d := b.docs[branch]
		b.checkHostOwners(d, owners)
		b.checkRouteRanks(d)
	}
}

// checkHostOwners checks that no two services have the same host, and adds the
// document's hosts to owners.
func (b *builder) checkHostOwners(d *Document, owners map[string]Branch) {
	for i, host := range d.Service.Hosts {
		if owner, taken := owners[host]; taken {
			b.report(d, fmt.Sprintf("hosts[%d]", i), fmt.Sprintf("host %q already belongs to %s", host, owner))
			continue
		}
		owners[host] = d.Branch
	}
}

// checkRouteRanks checks that the rank of each route exists and, unless the route
// streams uploads, that the rank's queue can hold the largest body of the route.
func (b *builder) checkRouteRanks(d *Document) {
	ranks := make(map[string]Rank)
	for _, r := range b.ranks(d.Branch) {
		ranks[r.Name] = r
	}
	for i, route := range d.Service.Routes {
		rank, known := ranks[route.Rank]
		switch {
		case !known:
			b.report(d, fmt.Sprintf("routes[%d].rank", i), fmt.Sprintf("the root has no rank %q", route.Rank))
		case !route.Upload && route.MaxBodyBytes > rank.QueueBytes:
			b.report(d, fmt.Sprintf("routes[%d].max_body_bytes", i),
				fmt.Sprintf("%d is more than queue_bytes %d of rank %s, so such a body could never wait; an upload route streams instead",
					route.MaxBodyBytes, rank.QueueBytes, rank.Name))
		}
	}
}

package tree

import "fmt"

// checkServices checks routes against ranks, and hosts against other services.
func (b *builder) checkServices() {
	owners := make(map[string]Branch)
	for _, branch := range b.branches {
		if branch.Level() != LevelService {
			continue
		}
		d := b.docs[branch]
		b.checkOwners(d, owners)
		b.checkRouteRanks(d)
	}
}

// checkOwners checks that each host belongs to one service of one member.
func (b *builder) checkOwners(d *Document, owners map[string]Branch) {
	for i, host := range d.Service.Hosts {
		if owner, taken := owners[host]; taken {
			b.report(d, fmt.Sprintf("hosts[%d]", i), fmt.Sprintf("host %q already belongs to %s", host, owner))
			continue
		}
		owners[host] = d.Branch
	}
}

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

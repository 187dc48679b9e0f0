package tree

// Tenant is a customer of the operator, known by the keys of its callers.
type Tenant struct {
	// Name is unique within the tree.
	Name string
	// RankName is the rank of the tenant's requests, which replaces that of their route; empty
	// leaves the route's.
	RankName string
	// PerSecond and Burst bound the tenant's requests over all entries together: Burst requests
	// and PerSecond more in each second. A PerSecond of zero means no limit.
	PerSecond, Burst float64
}

// WithTenant returns the match for a request of the tenant, with the rank of the tenant if it
// has one.
func (m Match) WithTenant(tenant *Tenant) Match {
	m.Tenant = tenant
	if tenant.RankName == "" {
		return m
	}
	if rank, ok := m.Service.Rank(tenant.RankName); ok {
		m.Rank = rank
	}
	return m
}

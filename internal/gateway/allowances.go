package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/allowance"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// questionTime bounds the time for which a question to which no answer is needed stays open.
const questionTime = 50 * time.Millisecond

// tenantLimits finds the limits of tenants by name in the active tree.
type tenantLimits struct {
	tree  func() *tree.Tree
	index atomic.Pointer[limitIndex]
}

// limitIndex holds the limits of one tree. It is immutable.
type limitIndex struct {
	tree   *tree.Tree
	limits map[string]allowance.Limit // of tenants that have one
}

// limit returns the tenant's limit, or false if it has none.
func (l *tenantLimits) limit(tenant string) (allowance.Limit, bool) {
	t := l.tree()
	if t == nil {
		return allowance.Limit{}, false
	}
	index := l.index.Load()
	if index == nil || index.tree != t {
		index = &limitIndex{tree: t, limits: make(map[string]allowance.Limit, len(t.Tenants))}
		for _, tenant := range t.Tenants {
			if tenant.PerSecond > 0 {
				index.limits[tenant.Name] = allowance.Limit{PerSecond: tenant.PerSecond, Burst: tenant.Burst}
			}
		}
		l.index.Store(index)
	}
	limit, ok := index.limits[tenant]
	return limit, ok
}

// newAllowances returns the owner of this entry's shards and the client that acquires units of
// all shards.
func newAllowances(s *Settings, node *cluster.Node, holder *treeHolder, events *eventlog.Logger, scope tally.Scope) (*allowance.Owner, *allowance.Client) {
	limits := &tenantLimits{tree: holder.Tree}
	owner := allowance.NewOwner(allowance.OwnerOptions{
		Self:     s.VM,
		View:     node.View,
		Limit:    limits.limit,
		Window:   s.AllowanceWindow,
		HasPeers: hasPeers(s),
		Send: func(to *cluster.Assignee, question []byte) {
			go sendQuestion(node, to, question)
		},
		StartedAt: startedAt,
		Now:       steady.SinceBoot,
		Events:    events,
		Scope:     scope,
	})
	node.HandleQueries(cluster.TopicAllowance, owner.Answer)
	client := allowance.NewClient(allowance.ClientOptions{Node: node, Now: steady.SinceBoot, Events: events, Scope: scope})
	return owner, client
}

// sendQuestion sends a question to which no answer is needed.
func sendQuestion(node *cluster.Node, to *cluster.Assignee, question []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), questionTime)
	defer cancel()
	// A question that is lost is sent again.
	_, _ = node.Query(ctx, to.LiveMember(), cluster.TopicAllowance, question)
}

// hasPeers reports whether the settings name the datagram address of another entry.
func hasPeers(s *Settings) bool {
	for _, seed := range s.Seeds {
		if seed != s.DatagramAddress {
			return true
		}
	}
	return false
}

package tree

import (
	"cmp"
	"fmt"
)

// checkNarrowing checks that no value is wider than what the branch inherits.
func (b *builder) checkNarrowing() {
	for i, r := range b.root.Ranks {
		b.checkLimits(b.docs[Root], fmt.Sprintf("ranks[%d].", i), r.Limits, []Branch{Root})
	}
	for _, branch := range b.branches {
		if branch == Root {
			continue
		}
		d := b.docs[branch]
		b.checkLimits(d, "", d.limits(), ancestors(branch))
		b.checkBudgets(d, b.budgets(branch.Parent()))
		if branch.Level() == LevelRank {
			b.checkRank(d)
		}
	}
}

// ancestors returns the branches above, the nearest first.
func ancestors(b Branch) []Branch {
	var above []Branch
	for b != Root {
		b = b.Parent()
		above = append(above, b)
	}
	return above
}

func (b *builder) checkLimits(d *Document, prefix string, own LimitValues, above []Branch) {
	for _, branch := range above {
		b.checkLimitPair(d, prefix, own, b.docs[branch].limits(), string(branch))
	}
	if d.Rank != nil {
		r, _ := b.rank(d.Branch.Name())
		b.checkLimitPair(d, prefix, own, r.Limits, "the root's rank "+r.Name)
	}
}

func (b *builder) checkLimitPair(d *Document, prefix string, own, parent LimitValues, owner string) {
	if wider(own.CallsPerSecond, parent.CallsPerSecond) {
		b.report(d, prefix+"limits.calls_per_second", widerMessage(own.CallsPerSecond, parent.CallsPerSecond, owner))
	}
	if wider(own.ConcurrentCalls, parent.ConcurrentCalls) {
		b.report(d, prefix+"limits.concurrent_calls", widerMessage(own.ConcurrentCalls, parent.ConcurrentCalls, owner))
	}
}

// wider compares limits, of which zero is none: a branch without a limit of
// its own stays under that of its parent.
func wider(own, parent int) bool {
	return own != 0 && parent != 0 && own > parent
}

func (b *builder) checkBudgets(d *Document, parent Budgets) {
	own := d.budgets()
	owner := string(d.Branch.Parent())
	checkPointer(b, d, "budgets.probes_per_second", own.ProbesPerSecond, parent.ProbesPerSecond, owner)
	checkPointer(b, d, "budgets.retry_share", own.RetryShare, parent.RetryShare, owner)
	checkPointer(b, d, "budgets.hedge_share", own.HedgeShare, parent.HedgeShare, owner)
}

func (b *builder) checkRank(d *Document) {
	parent, _ := b.rank(d.Branch.Name())
	own := d.Rank
	const owner = "the root"
	checkPointer(b, d, "target_ms", own.TargetMs, parent.TargetMs, owner)
	checkPointer(b, d, "queue_length", own.QueueLength, parent.QueueLength, owner)
	checkPointer(b, d, "queue_bytes", own.QueueBytes, parent.QueueBytes, owner)
	checkPointer(b, d, "kept_share", own.KeptShare, parent.KeptShare, owner)
	if parent.Streams > 0 {
		checkPointer(b, d, "streams", own.Streams, parent.Streams, owner)
	}
}

func checkPointer[T cmp.Ordered](b *builder, d *Document, path string, own *T, parent T, owner string) {
	if own != nil && *own > parent {
		b.report(d, path, widerMessage(*own, parent, owner))
	}
}

func widerMessage[T any](own, parent T, owner string) string {
	return fmt.Sprintf("%v is wider than %v of %s: a branch may only narrow", own, parent, owner)
}

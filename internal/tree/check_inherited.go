package tree

import (
	"cmp"
	"fmt"
)

// checkInherited checks that no value exceeds the inherited one.
func (b *builder) checkInherited() {
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

// ancestors returns the branches above b, the nearest first.
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
		b.checkLimitsAgainst(d, prefix, own, b.docs[branch].limits(), string(branch))
	}
	if d.Rank != nil {
		r, _ := b.rank(d.Branch.Name())
		b.checkLimitsAgainst(d, prefix, own, r.Limits, "the root's rank "+r.Name)
	}
}

func (b *builder) checkLimitsAgainst(d *Document, prefix string, own, parent LimitValues, parentName string) {
	if exceeds(own.CallsPerSecond, parent.CallsPerSecond) {
		b.report(d, prefix+"limits.calls_per_second", exceedsMessage(own.CallsPerSecond, parent.CallsPerSecond, parentName))
	}
	if exceeds(own.ConcurrentCalls, parent.ConcurrentCalls) {
		b.report(d, prefix+"limits.concurrent_calls", exceedsMessage(own.ConcurrentCalls, parent.ConcurrentCalls, parentName))
	}
}

// exceeds reports whether a limit is higher than that of the parent. Zero means no
// limit: a branch without a limit of its own is still bound by that of its parent.
func exceeds(own, parent int) bool {
	return own != 0 && parent != 0 && own > parent
}

func (b *builder) checkBudgets(d *Document, parent Budgets) {
	own := d.budgets()
	parentName := string(d.Branch.Parent())
	checkOverride(b, d, "budgets.probes_per_second", own.ProbesPerSecond, parent.ProbesPerSecond, parentName)
	checkOverride(b, d, "budgets.retry_share", own.RetryShare, parent.RetryShare, parentName)
	checkOverride(b, d, "budgets.hedge_share", own.HedgeShare, parent.HedgeShare, parentName)
}

func (b *builder) checkRank(d *Document) {
	parent, _ := b.rank(d.Branch.Name())
	own := d.Rank
	const parentName = "the root"
	checkOverride(b, d, "target_ms", own.TargetMs, parent.TargetMs, parentName)
	checkOverride(b, d, "queue_length", own.QueueLength, parent.QueueLength, parentName)
	checkOverride(b, d, "queue_bytes", own.QueueBytes, parent.QueueBytes, parentName)
	checkOverride(b, d, "kept_share", own.KeptShare, parent.KeptShare, parentName)
	if parent.Streams > 0 {
		checkOverride(b, d, "streams", own.Streams, parent.Streams, parentName)
	}
}

func checkOverride[T cmp.Ordered](b *builder, d *Document, path string, own *T, parent T, parentName string) {
	if own != nil && *own > parent {
		b.report(d, path, exceedsMessage(*own, parent, parentName))
	}
}

func exceedsMessage[T any](own, parent T, parentName string) string {
	return fmt.Sprintf("%v is wider than %v of %s: a branch may only narrow", own, parent, parentName)
}

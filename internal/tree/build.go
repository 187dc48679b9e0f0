package tree

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// MaxBytes is the maximum total size in bytes of the contents of all branches.
// It bounds the size of a snapshot and of the state in memory.
const MaxBytes = 2 << 20

// Documents holds the document of each branch.
type Documents map[Branch]*Document

// With returns a copy in which d is the document of its branch.
func (ds Documents) With(d *Document) Documents {
	c := maps.Clone(ds)
	if c == nil {
		c = make(Documents)
	}
	c[d.Branch] = d
	return c
}

// Merge returns a copy with the others added. Where both have a document of a
// branch, that of others is taken.
func (ds Documents) Merge(others Documents) Documents {
	c := make(Documents, len(ds)+len(others))
	maps.Copy(c, ds)
	maps.Copy(c, others)
	return c
}

// Without returns a copy without the document of the branch.
func (ds Documents) Without(b Branch) Documents {
	c := maps.Clone(ds)
	delete(c, b)
	return c
}

// Branches returns the branches sorted by path, parents before their children.
func (ds Documents) Branches() []Branch {
	return slices.Sorted(maps.Keys(ds))
}

// Build checks the documents against each other and returns the effective
// tree. The tree is nil if there are findings.
func Build(docs Documents) (*Tree, finding.List) {
	b := newBuilder(docs)
	b.checkStructure()
	if len(b.found) > 0 {
		return nil, b.found.Sorted()
	}
	b.checkInherited()
	b.checkServices()
	if len(b.found) > 0 {
		return nil, b.found.Sorted()
	}
	return b.tree(), nil
}

// builder builds one tree and collects findings.
type builder struct {
	docs     Documents
	branches []Branch
	root     *RootDocument
	found    finding.List
}

func newBuilder(docs Documents) *builder {
	b := &builder{docs: docs, branches: docs.Branches()}
	if d := docs[Root]; d != nil {
		b.root = d.Root
	}
	return b
}

func (b *builder) report(d *Document, path, message string) {
	b.found = append(b.found, d.source.FindingAt(path, message))
}

// checkStructure checks that the root exists, that the parent of each branch
// exists, that the root declares the branch's member and rank, and that the total
// size is within MaxBytes.
func (b *builder) checkStructure() {
	if b.root == nil {
		// The first publish must include the root branch.
		b.found = append(b.found, finding.Finding{File: Root.File(), Message: "missing: the root comes first"})
		return
	}
	bytes := 0
	for _, branch := range b.branches {
		d := b.docs[branch]
		bytes += len(d.Content)
		if b.docs[branch.Parent()] == nil {
			b.report(d, "", fmt.Sprintf("branch %s has no parent %s", branch, branch.Parent()))
		}
		if branch != Root && !slices.Contains(b.root.Members, branch.Member()) {
			b.report(d, "", fmt.Sprintf("the root has no member %q", branch.Member()))
		}
		if _, known := b.rank(branch.Name()); branch.Level() == LevelRank && !known {
			b.report(d, "", fmt.Sprintf("the root has no rank %q", branch.Name()))
		}
	}
	if bytes > MaxBytes {
		b.report(b.docs[Root], "", fmt.Sprintf("the branches hold %d bytes, which is more than %d", bytes, MaxBytes))
	}
}

func (b *builder) rank(name string) (RankDefaults, bool) {
	for _, r := range b.root.Ranks {
		if r.Name == name {
			return r, true
		}
	}
	return RankDefaults{}, false
}

// tree builds the effective tree. The documents must have passed all checks.
func (b *builder) tree() *Tree {
	t := &Tree{
		Members: slices.Clone(b.root.Members),
		Quorum:  b.root.Quorum,
		Seats:   b.root.Seats,
		Regions: newRegions(b.root.Regions),
		Budgets: b.root.Budgets.budgets(),
		Limits:  b.limits(),
	}
	for _, branch := range b.branches {
		if branch.Level() == LevelService {
			s := b.service(branch)
			s.Regions = t.Regions
			t.Services = append(t.Services, s)
		}
	}
	slices.SortFunc(t.Services, compareServices)
	return t
}

func compareServices(a, b *Service) int {
	return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Name, b.Name))
}

func (b *builder) service(branch Branch) *Service {
	doc := b.docs[branch].Service
	s := &Service{
		Member:               branch.Member(),
		Name:                 branch.Name(),
		Hosts:                slices.Clone(doc.Hosts),
		Ranks:                b.ranks(branch),
		Budgets:              b.budgets(branch),
		ConnectionsPerServer: doc.ConnectionsPerServer,
		SlotsPerServer:       doc.SlotsPerServer,
		LoadReportHeader:     cmp.Or(doc.LoadReportHeader, wire.HeaderLoadReport),
		LoadShedHeader:       cmp.Or(doc.LoadShedHeader, wire.HeaderLoadShed),
	}
	for _, r := range doc.Routes {
		s.Routes = append(s.Routes, r.route())
	}
	return s
}

func (r RouteDocument) route() *Route {
	return &Route{
		Methods:      slices.Clone(r.Methods),
		PathPrefix:   r.PathPrefix,
		Rank:         r.Rank,
		Idempotent:   r.Idempotent,
		Upload:       r.Upload,
		MaxBodyBytes: r.MaxBodyBytes,
		Timeout:      time.Duration(r.TimeoutMs) * time.Millisecond,
	}
}

// ranks returns the ranks of a service with its overrides, the most urgent first.
func (b *builder) ranks(service Branch) []Rank {
	var ranks []Rank
	for _, defaults := range b.root.Ranks {
		rank := defaults.rank()
		if d := b.docs[service+"/"+Branch(defaults.Name)]; d != nil {
			rank = d.Rank.override(rank)
		}
		ranks = append(ranks, rank)
	}
	slices.SortFunc(ranks, func(a, b Rank) int { return cmp.Compare(a.Order, b.Order) })
	return ranks
}

func (r RankDefaults) rank() Rank {
	return Rank{
		Name:        r.Name,
		Order:       r.Order,
		Target:      time.Duration(r.TargetMs) * time.Millisecond,
		QueueLength: r.QueueLength,
		QueueBytes:  r.QueueBytes,
		KeptShare:   r.KeptShare,
		Streams:     r.Streams,
	}
}

// override returns the rank with the values that the document sets replaced.
func (d *RankDocument) override(r Rank) Rank {
	if d.TargetMs != nil {
		r.Target = time.Duration(*d.TargetMs) * time.Millisecond
	}
	r.QueueLength = valueOr(d.QueueLength, r.QueueLength)
	r.QueueBytes = valueOr(d.QueueBytes, r.QueueBytes)
	r.KeptShare = valueOr(d.KeptShare, r.KeptShare)
	r.Streams = valueOr(d.Streams, r.Streams)
	return r
}

// budgets returns the budgets of a branch, including inherited ones.
func (b *builder) budgets(branch Branch) Budgets {
	if branch == Root {
		return b.root.Budgets.budgets()
	}
	inherited := b.budgets(branch.Parent())
	own := b.docs[branch].budgets()
	return Budgets{
		ProbesPerSecond: valueOr(own.ProbesPerSecond, inherited.ProbesPerSecond),
		RetryShare:      valueOr(own.RetryShare, inherited.RetryShare),
		HedgeShare:      valueOr(own.HedgeShare, inherited.HedgeShare),
	}
}

func (b RootBudgets) budgets() Budgets {
	return Budgets{
		ProbesPerSecond: b.ProbesPerSecond,
		RetryShare:      b.RetryShare,
		HedgeShare:      b.HedgeShare,
	}
}

// limits returns the global limits of all scopes, the least specific first.
func (b *builder) limits() []Limit {
	var limits []Limit
	add := func(scope Scope, v LimitValues) {
		if v != (LimitValues{}) {
			limits = append(limits, Limit{Scope: scope, CallsPerSecond: v.CallsPerSecond, ConcurrentCalls: v.ConcurrentCalls})
		}
	}
	for _, r := range b.root.Ranks {
		add(Scope{Rank: r.Name}, r.Limits)
	}
	for _, branch := range b.branches {
		add(branch.Scope(), b.docs[branch].limits())
	}
	slices.SortStableFunc(limits, func(a, b Limit) int { return compareScopes(a.Scope, b.Scope) })
	return limits
}

func compareScopes(a, b Scope) int {
	return cmp.Or(
		cmp.Compare(a.specificity(), b.specificity()),
		cmp.Compare(a.Member, b.Member),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Rank, b.Rank),
	)
}

// specificity returns the number of fields that restrict the scope.
func (s Scope) specificity() int {
	width := 0
	for _, name := range []string{s.Member, s.Service, s.Rank} {
		if name != "" {
			width++
		}
	}
	return width
}

// valueOr returns the value that own points to, or the fallback if own is nil.
func valueOr[T any](own *T, fallback T) T {
	if own == nil {
		return fallback
	}
	return *own
}

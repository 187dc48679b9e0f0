package tree

// The types of this file are the schema of the published documents. The tags
// are read by package jsonc. A field that a document leaves out is inherited.

// RootDocument is the document of the root branch. The members vote on every
// change of its values.
type RootDocument struct {
	// Members are the names of the member businesses.
	Members []string `json:"members" required:"true"`
	// Quorum is how many members must approve a change that needs a vote.
	Quorum int `json:"quorum" required:"true" min:"1"`
	// Seats is the number of equal shares into which each voted limit is split.
	Seats int `json:"seats" required:"true" min:"1" max:"1024"`
	// Regions group availability zones that are near each other. A zone that none
	// names is in one further region together with all such zones.
	Regions []RegionDocument `json:"regions"`
	// Ranks are the ranks of work of every service.
	Ranks []RankDefaults `json:"ranks" required:"true"`
	// Budgets bound what the system does by itself at each entry.
	Budgets RootBudgets `json:"budgets" required:"true"`
	// Limits govern all calls of the co-operative.
	Limits LimitValues `json:"limits"`
}

// RegionDocument names the availability zones of one region.
type RegionDocument struct {
	Name  string   `json:"name" required:"true"`
	Zones []string `json:"zones" required:"true"`
}

// RankDefaults is one rank as the root defines it for every service.
type RankDefaults struct {
	Name        string  `json:"name" required:"true"`
	Order       int     `json:"order" required:"true" min:"0" max:"1000"`
	TargetMs    int64   `json:"target_ms" required:"true" min:"1" max:"3600000"`
	QueueLength int     `json:"queue_length" required:"true" min:"0" max:"1000000"`
	QueueBytes  int64   `json:"queue_bytes" required:"true" min:"0" max:"1099511627776"`
	KeptShare   float64 `json:"kept_share" required:"true" min:"0" max:"1"`
	// Streams is the most uploads in progress at one entry; left out, there is no limit.
	Streams int `json:"streams" min:"1" max:"1000000"`
	// Limits govern all calls of this rank in the co-operative.
	Limits LimitValues `json:"limits"`
}

// RootBudgets are the widest budgets.
type RootBudgets struct {
	ProbesPerSecond float64 `json:"probes_per_second" required:"true" min:"0" max:"100000"`
	RetryShare      float64 `json:"retry_share" required:"true" min:"0" max:"1"`
	HedgeShare      float64 `json:"hedge_share" required:"true" min:"0" max:"1"`
}

// LimitValues are the voted limits of one branch; zero means left out. The
// members vote on every change of them, in every branch.
type LimitValues struct {
	CallsPerSecond  int `json:"calls_per_second" min:"1" max:"100000000"`
	ConcurrentCalls int `json:"concurrent_calls" min:"1" max:"100000000"`
}

// BudgetOverrides narrow the inherited budgets.
type BudgetOverrides struct {
	ProbesPerSecond *float64 `json:"probes_per_second" min:"0" max:"100000"`
	RetryShare      *float64 `json:"retry_share" min:"0" max:"1"`
	HedgeShare      *float64 `json:"hedge_share" min:"0" max:"1"`
}

// MemberDocument is the document of a member's branch.
type MemberDocument struct {
	// Budgets narrow the root's budgets for the member's services.
	Budgets BudgetOverrides `json:"budgets"`
	// Limits govern all calls to the member's services.
	Limits LimitValues `json:"limits"`
}

// ApprovalsDocument is the document of a member's branch of approvals. It is a
// branch of its own, so that an approval does not replace the revision of the
// member's settings, on which a pending proposal may be based.
type ApprovalsDocument struct {
	// Approve holds the ids of the proposals that the member approves. An id
	// that is taken out withdraws the approval while the proposal is pending.
	Approve []string `json:"approve" required:"true"`
}

// ServiceDocument is the document of a service's branch.
type ServiceDocument struct {
	Hosts                []string        `json:"hosts" required:"true"`
	Routes               []RouteDocument `json:"routes" required:"true"`
	ConnectionsPerServer int             `json:"connections_per_server" required:"true" min:"1" max:"1000000"`
	SlotsPerServer       int             `json:"slots_per_server" required:"true" min:"1" max:"100000"`
	LoadReportHeader     string          `json:"load_report_header"`
	LoadShedHeader       string          `json:"load_shed_header"`
	Budgets              BudgetOverrides `json:"budgets"`
	Limits               LimitValues     `json:"limits"`
}

// RouteDocument maps a method and path prefix to a rank.
type RouteDocument struct {
	Methods      []string `json:"methods"`
	PathPrefix   string   `json:"path_prefix" required:"true"`
	Rank         string   `json:"rank" required:"true"`
	Idempotent   bool     `json:"idempotent"`
	Upload       bool     `json:"upload"`
	MaxBodyBytes int64    `json:"max_body_bytes" required:"true" min:"0" max:"1099511627776"`
	TimeoutMs    int64    `json:"timeout_ms" required:"true" min:"1" max:"86400000"`
}

// RankDocument is the document of one rank of one service. It narrows the
// root's rank of the same name.
type RankDocument struct {
	TargetMs    *int64      `json:"target_ms" min:"1" max:"3600000"`
	QueueLength *int        `json:"queue_length" min:"0" max:"1000000"`
	QueueBytes  *int64      `json:"queue_bytes" min:"0" max:"1099511627776"`
	KeptShare   *float64    `json:"kept_share" min:"0" max:"1"`
	Streams     *int        `json:"streams" min:"1" max:"1000000"`
	Limits      LimitValues `json:"limits"`
}

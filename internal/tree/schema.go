package tree

// The types in this file are the schema of the published documents. Package jsonc
// reads the tags. A field that a document omits is inherited.

// RootDocument is the document of the root branch. The members vote on every
// change of its values.
type RootDocument struct {
	// Members are the names of the member businesses.
	Members []string `json:"members" required:"true"`
	// Quorum is the number of members that must approve a change that needs a vote.
	Quorum int `json:"quorum" required:"true" min:"1"`
	// Seats is the number of equal shares into which each global limit is divided.
	Seats int `json:"seats" required:"true" min:"1" max:"1024"`
	// Regions group availability zones that are near each other. All zones that are
	// in none of them form one further region.
	Regions []RegionDocument `json:"regions"`
	// Ranks are the ranks (priority classes) of every service.
	Ranks []RankDefaults `json:"ranks" required:"true"`
	// Budgets bound the probes, retries and hedges at each entry.
	Budgets RootBudgets `json:"budgets" required:"true"`
	// Limits apply to all calls of the co-operative.
	Limits LimitValues `json:"limits"`
}

// RegionDocument lists the availability zones of one region.
type RegionDocument struct {
	Name  string   `json:"name" required:"true"`
	Zones []string `json:"zones" required:"true"`
}

// RankDefaults defines one rank for every service. A RankDocument may lower its
// values for one service.
type RankDefaults struct {
	Name        string  `json:"name" required:"true"`
	Order       int     `json:"order" required:"true" min:"0" max:"1000"`
	TargetMs    int64   `json:"target_ms" required:"true" min:"1" max:"3600000"`
	QueueLength int     `json:"queue_length" required:"true" min:"0" max:"1000000"`
	QueueBytes  int64   `json:"queue_bytes" required:"true" min:"0" max:"1099511627776"`
	KeptShare   float64 `json:"kept_share" required:"true" min:"0" max:"1"`
	// Streams is the maximum number of uploads in progress at one entry; zero means
	// no limit.
	Streams int `json:"streams" min:"1" max:"1000000"`
	// Limits apply to all calls of this rank in the co-operative.
	Limits LimitValues `json:"limits"`
}

// RootBudgets are the budgets that all branches inherit; a branch may only lower
// them.
type RootBudgets struct {
	ProbesPerSecond float64 `json:"probes_per_second" required:"true" min:"0" max:"100000"`
	RetryShare      float64 `json:"retry_share" required:"true" min:"0" max:"1"`
	HedgeShare      float64 `json:"hedge_share" required:"true" min:"0" max:"1"`
}

// LimitValues are the global limits of one branch; zero means not set. The members
// vote on every change of them, in every branch.
type LimitValues struct {
	CallsPerSecond  int `json:"calls_per_second" min:"1" max:"100000000"`
	ConcurrentCalls int `json:"concurrent_calls" min:"1" max:"100000000"`
}

// BudgetOverrides lower inherited budgets; nil inherits the value.
type BudgetOverrides struct {
	ProbesPerSecond *float64 `json:"probes_per_second" min:"0" max:"100000"`
	RetryShare      *float64 `json:"retry_share" min:"0" max:"1"`
	HedgeShare      *float64 `json:"hedge_share" min:"0" max:"1"`
}

// MemberDocument is the document of a member's branch.
type MemberDocument struct {
	// Budgets lower the root's budgets for the member's services.
	Budgets BudgetOverrides `json:"budgets"`
	// Limits apply to all calls to the member's services.
	Limits LimitValues `json:"limits"`
}

// ApprovalsDocument is the document of a member's approvals branch. Approvals have
// a branch of their own so that an approval doesn't replace the revision of the
// member's settings, on which a pending proposal may be based.
type ApprovalsDocument struct {
	// Approve holds the ids of the proposals that the member approves. Removing an
	// id withdraws the approval while the proposal is pending.
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

// RankDocument is the document of one rank of one service. It lowers values of the
// root's rank of the same name; nil inherits the value.
type RankDocument struct {
	TargetMs    *int64      `json:"target_ms" min:"1" max:"3600000"`
	QueueLength *int        `json:"queue_length" min:"0" max:"1000000"`
	QueueBytes  *int64      `json:"queue_bytes" min:"0" max:"1099511627776"`
	KeptShare   *float64    `json:"kept_share" min:"0" max:"1"`
	Streams     *int        `json:"streams" min:"1" max:"1000000"`
	Limits      LimitValues `json:"limits"`
}

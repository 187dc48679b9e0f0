package daemon

import (
	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"chestnutrouter.example/chestnutrouter/internal/account"
	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/follow"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/frontend"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/probe"
	"chestnutrouter.example/chestnutrouter/internal/quota"
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/service"
	"chestnutrouter.example/chestnutrouter/internal/settings"
)

// Params are all parts of an entry that are started or stopped.
type Params struct {
	fx.In

	Settings   *settings.Settings
	Logger     *log.Logger
	Registry   *metrics.Registry
	Platform   *logservice.Client
	Pool       *peer.Pool
	Follower   *follow.Follower
	Membership *membership.Membership
	Operations *operation.Table
	SealStore  *operation.SealStore
	Limiter    *quota.Limiter
	Claimer    *seat.Claimer
	Workers    *admission.Workers
	Services   *service.Set
	Prober     *probe.Prober
	Forwarder  *forward.Forwarder
	Handler    *frontend.Handler
	Drainer    *drain.Drainer
	Account    *account.Account
	Limits     account.Limits
}

// Module provides an *Entry for the settings, with its lifecycle hooks.
func Module(s *settings.Settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.Provide(
			newLogger,
			metrics.NewRegistry,
			newScope,
			newLimits,
			newAccount,
			newPlatformClient,
			newPool,
			newContactTracker,
			newPeerClient,
			newLog,
			newMemberPosition,
			newOperationTable,
			operation.NewSealStore,
			newOwnerClient,
			newFollower,
			newMembership,
			newLimiter,
			newClaimer,
			admission.NewWorkers,
			newServices,
			newProber,
			newForwarder,
			newRunner,
			drain.New,
			newHandler,
			newEntry,
		),
		fx.Invoke(func(lc fx.Lifecycle, e *Entry) {
			lc.Append(fx.Hook{OnStart: e.Start, OnStop: e.Stop})
		}),
	)
}

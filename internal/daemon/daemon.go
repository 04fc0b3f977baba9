package daemon

import (
	"cmp"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/controller/config"
	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/controller/members"
	"github.com/filbertrill/filbertrill/internal/controller/orders"
	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/entry"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/operator"
	"github.com/filbertrill/filbertrill/internal/order"
	"github.com/filbertrill/filbertrill/internal/peer"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// Daemon is one running instance.
type Daemon struct {
	settings Settings
	logger   *slog.Logger

	log     logservice.Log
	list    logservice.InstanceList
	metrics *telemetry.Metrics
	scrape  http.Handler

	mesh     *peer.Mesh
	listener net.Listener
	members  *members.Controller
	config   *config.Controller
	dispatch *dispatch.Controller
	orders   *orders.Controller
	entry    *entry.Server
	once     *onceOnly

	changed   chan struct{} // the configuration has changed
	drain     chan struct{}
	drainOnce sync.Once
}

// New checks the settings, binds the peer address and wires the parts. Nothing serves
// before Run.
func New(settings Settings) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings,
		logger:   logging.For(logging.Daemon),
		changed:  make(chan struct{}, 1),
		drain:    make(chan struct{}),
	}
	if err := d.openPlatform(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", settings.Peer)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	d.listener = listener
	d.metrics, d.scrape, _ = telemetry.New(telemetry.Options{})
	d.wire(uint64(time.Now().UnixNano()))
	if err := d.openEntry(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) openPlatform() error {
	log, err := logservice.NewHTTPLog(d.settings.Log, d.settings.LogTimeout)
	if err != nil {
		return err
	}
	d.log = log
	if d.settings.Instances == "" {
		return nil
	}
	list, err := logservice.NewHTTPInstanceList(d.settings.Instances, d.settings.LogTimeout)
	if err != nil {
		return err
	}
	d.list = list
	return nil
}

// wire builds the controllers. Their order follows who calls whom.
func (d *Daemon) wire(incarnation uint64) {
	operators := &operator.Server{}
	d.mesh = peer.NewMesh(peer.Options{
		ID:          d.settings.ID,
		Incarnation: incarnation,
		Secret:      d.settings.Secret,
		Routes:      d.settings.PeerRoutes,
		Handler:     d.handle,
		Operator:    operators,
		Attest:      func(pong *pb.Pong) { d.config.FillPong(pong) },
		Observe:     func(sent time.Time, pong *pb.Pong) { d.config.HandlePong(sent, pong) },
		Logger:      logging.For(logging.Peer),
		Counter:     d.countControl,
	})
	d.members = members.NewController(members.Options{
		Self: &pb.Member{
			Id:          d.settings.ID,
			Incarnation: incarnation,
			PeerAddress: cmp.Or(d.settings.AdvertisePeer, d.PeerAddress()),
			Zone:        d.settings.Zone,
			Region:      d.settings.Region,
			State:       pb.MemberState_MEMBER_STATE_STARTING,
		},
		Seeds:  d.settings.Seeds,
		List:   d.list,
		Sender: d.mesh,
		Logger: logging.For(logging.Members),
		Facts:  d.facts,
	})
	d.dispatch = dispatch.NewController(dispatch.Options{
		SelfID:      d.settings.ID,
		Incarnation: incarnation,
		Members:     d.members,
		Sender:      d.mesh,
		Load:        backend.NewEngine(backend.NewTransport()).Load,
		Zone:        d.settings.Zone,
		Scope:       dispatch.Scope(d.settings.DispatchScope),
		Order:       core.Order(d.settings.DispatchOrder),
		Logger:      logging.For(logging.Dispatch),
	})
	d.config = d.newConfig()
	d.once = d.newOnceOnly(incarnation)
	d.orders = orders.NewController(orders.Options{
		Self:    order.Sender{ID: d.settings.ID, Incarnation: incarnation},
		Log:     d.log,
		Members: d.members,
		Logger:  logging.For(logging.Orders),
	})
	*operators = *operator.NewServer(operator.Options{
		SelfID:  d.settings.ID,
		Log:     d.log,
		Config:  d.config,
		Members: d.members,
		Drain:   d.Drain,
	})
}

func (d *Daemon) openEntry() error {
	host, port := hostPort(d.settings.Listen)
	attempts := d.attemptOptions()
	server, err := entry.NewServer(entry.Options{
		Host:    host,
		Port:    port,
		TLSCert: d.settings.TLSCert,
		TLSKey:  d.settings.TLSKey,
		Config:  d.config.Current,
		Members: d.members,
		Chain:   d.chain(attempts),
		Resume:  d.resumeChain(attempts),
		Metrics: d.scrape,
		Keys:    d.once,
		Logger:  logging.For(logging.Entry),

		Lifetime: d.settings.EntriesLifetime,
	})
	d.entry = server
	return err
}

// handle routes a message of a peer to its controller.
func (d *Daemon) handle(env *pb.Envelope) {
	if d.members.Handle(env) {
		return
	}
	switch body := env.Body.(type) {
	case *pb.Envelope_DemandReport:
		d.dispatch.DemandReport(env.From, body.DemandReport, time.Now())
	case *pb.Envelope_GrantBatch:
		d.dispatch.GrantBatch(env.From, body.GrantBatch, time.Now())
	case *pb.Envelope_ConfigRecords:
		d.config.HandleRecords(env.From, body.ConfigRecords)
	case *pb.Envelope_ConfigRequest:
		d.config.HandleRequest(env.From, body.ConfigRequest)
	case *pb.Envelope_ConfigReply:
		d.config.HandleReply(env.From, body.ConfigReply)
	}
}

func (d *Daemon) facts() members.Facts {
	applied, digest := d.config.Applied()
	return members.Facts{AppliedOffset: applied, ConfigDigest: digest, Load: d.load()}
}

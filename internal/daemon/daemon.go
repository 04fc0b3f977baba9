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
	"github.com/filbertrill/filbertrill/internal/controller/quarantine"
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

// Daemon is one instance of the router.
type Daemon struct {
	settings Settings
	logger   *slog.Logger

	log            logservice.Log
	instanceList   logservice.InstanceList
	metrics        *telemetry.Metrics
	metricsHandler http.Handler

	mesh       *peer.Mesh
	listener   net.Listener
	members    *members.Controller
	config     *config.Controller
	dispatch   *dispatch.Controller
	orders     *orders.Controller
	quarantine *quarantine.Controller
	entry      *entry.Server
	keys       *idempotencyKeys

	configChanges  chan struct{} // signals updateOrders; capacity 1
	drainRequested chan struct{} // closed by Drain
	drainOnce      sync.Once
}

// New checks the settings, binds the peer address and creates the components. The daemon serves
// no requests before Run.
func New(settings Settings) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:       settings,
		logger:         logging.For(logging.Daemon),
		configChanges:  make(chan struct{}, 1),
		drainRequested: make(chan struct{}),
	}
	if err := d.buildLogClients(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", settings.Peer)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the peer address")
	}
	d.listener = listener
	d.metrics, d.metricsHandler, _ = telemetry.New(telemetry.Options{})
	d.buildControllers(uint64(time.Now().UnixNano()))
	if err := d.buildEntryServer(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) buildLogClients() error {
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
	d.instanceList = list
	return nil
}

// buildControllers creates the mesh and the controllers. Each is created after those that its
// options refer to; callbacks use the fields of d later, and operatorServer is filled in last.
func (d *Daemon) buildControllers(incarnation uint64) {
	operatorServer := &operator.Server{}
	d.mesh = peer.NewMesh(peer.Options{
		ID:          d.settings.ID,
		Incarnation: incarnation,
		Secret:      d.settings.Secret,
		Routes:      d.settings.PeerRoutes,
		Handler:     d.handlePeerMessage,
		Operator:    operatorServer,
		FillPong:    func(pong *pb.Pong) { d.config.FillPong(pong) },
		OnPong:      func(sent time.Time, pong *pb.Pong) { d.config.HandlePong(sent, pong) },
		Logger:      logging.For(logging.Peer),
		CountBytes:  d.countControl,
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
		Seeds:        d.settings.Seeds,
		InstanceList: d.instanceList,
		Sender:       d.mesh,
		Logger:       logging.For(logging.Members),
		LocalState:   d.localState,
	})
	d.dispatch = dispatch.NewController(dispatch.Options{
		SelfID:      d.settings.ID,
		Incarnation: incarnation,
		Members:     d.members,
		Sender:      d.mesh,
		Load:        backend.NewEngineClient(backend.NewTransport()).Load,
		Zone:        d.settings.Zone,
		Scope:       dispatch.Scope(d.settings.DispatchScope),
		Order:       core.Order(d.settings.DispatchOrder),
		Logger:      logging.For(logging.Dispatch),
	})
	d.config = d.newConfig()
	d.keys = d.newIdempotencyKeys(incarnation)
	d.orders = orders.NewController(orders.Options{
		Self:    order.Sender{ID: d.settings.ID, Incarnation: incarnation},
		Log:     d.log,
		Members: d.members,
		Logger:  logging.For(logging.Orders),
	})
	d.quarantine = quarantine.NewController(quarantine.Options{
		SelfID:  d.settings.ID,
		Members: d.members,
		Sender:  d.mesh,
		Metrics: d.metrics,
		Logger:  logging.For(logging.Daemon),
	})
	*operatorServer = *operator.NewServer(operator.Options{
		SelfID:  d.settings.ID,
		Log:     d.log,
		Config:  d.config,
		Members: d.members,
		Drain:   d.Drain,
	})
}

func (d *Daemon) buildEntryServer() error {
	host, port := splitHostPort(d.settings.Listen)
	attempts := d.attemptOptions()
	server, err := entry.NewServer(entry.Options{
		Host:    host,
		Port:    port,
		TLSCert: d.settings.TLSCert,
		TLSKey:  d.settings.TLSKey,
		Config:  d.config.Current,
		Members: d.members,
		Chain:   d.requestChain(attempts),
		Resume:  d.resumeChain(attempts),
		Metrics: d.metricsHandler,
		Keys:    d.keys,
		Logger:  logging.For(logging.Entry),

		Lifetime:   d.settings.EntriesLifetime,
		CountPanic: func() { d.metrics.CountPanic(telemetry.Callers) },
	})
	d.entry = server
	return err
}

// handlePeerMessage passes a message from a peer to the controller that handles its type.
func (d *Daemon) handlePeerMessage(envelope *pb.Envelope) {
	if d.members.Handle(envelope) {
		return
	}
	switch body := envelope.Body.(type) {
	case *pb.Envelope_DemandReport:
		d.dispatch.HandleDemandReport(envelope.From, body.DemandReport, time.Now())
	case *pb.Envelope_GrantBatch:
		d.dispatch.HandleGrantBatch(envelope.From, body.GrantBatch, time.Now())
	case *pb.Envelope_ConfigRecords:
		d.config.HandleRecords(envelope.From, body.ConfigRecords)
	case *pb.Envelope_ConfigRequest:
		d.config.HandleRequest(envelope.From, body.ConfigRequest)
	case *pb.Envelope_SuspectReports:
		d.quarantine.HandleReports(envelope.From, body.SuspectReports)
	case *pb.Envelope_ConfigReply:
		d.config.HandleReply(envelope.From, body.ConfigReply)
	}
}

// localState returns the fields of this daemon's heartbeats that change over time.
func (d *Daemon) localState() members.LocalState {
	applied, digest := d.config.Applied()
	return members.LocalState{AppliedOffset: applied, ConfigDigest: digest, Load: d.load()}
}

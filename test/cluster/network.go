package cluster

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const (
	// listenTimeout is far longer than a child process takes from fork to exec, even on a busy
	// machine. Until exec the child keeps the inherited listeners open.
	listenTimeout       = 5 * time.Second
	listenRetryInterval = 5 * time.Millisecond
)

// Link is a TCP path through a fault-injecting proxy.
type Link struct {
	proxy      *toxiproxy.Proxy
	forwarder  *forwarder
	toxicCount int
}

// NewLink starts a link that listens on loopback. Its upstream is set with Connect.
func NewLink(name string) (*Link, error) {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	fwd, err := newForwarder()
	if err != nil {
		return nil, errors.Wrapf(err, "start link %s", name)
	}
	proxy := toxiproxy.NewProxy(server, name, UniqueAddress(), fwd.listener.Addr().String())
	link := &Link{proxy: proxy, forwarder: fwd}
	if err := link.start(); err != nil {
		fwd.close()
		return nil, errors.Wrapf(err, "start link %s", name)
	}
	return link, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.proxy.Listen }

// Connect sets the upstream address of new connections.
func (l *Link) Connect(upstream string) { l.forwarder.upstream.Store(&upstream) }

// Cut closes all connections and refuses new ones.
func (l *Link) Cut() { l.proxy.Stop() }

// Heal undoes Cut and removes all toxics. This closes the connections affected by Blackhole.
func (l *Link) Heal() error {
	l.proxy.Toxics.ResetToxics(context.Background())
	if l.proxy.Enabled {
		return nil
	}
	return l.start()
}

// start starts the proxy. It retries while the address is in use: a child process forked before
// the port was closed keeps the listener open until its exec.
func (l *Link) start() error {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryInterval) {
		err := l.proxy.Start()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
	}
}

// Blackhole drops all data in both directions on open and new connections without closing them.
func (l *Link) Blackhole() error {
	return l.addToxicBothDirections("timeout", `{"timeout":0}`)
}

// AddLatency adds latency with jitter in each direction.
func (l *Link) AddLatency(latencyMS, jitterMS int) error {
	attributes := fmt.Sprintf(`{"latency":%d,"jitter":%d}`, latencyMS, jitterMS)
	return l.addToxicBothDirections("latency", attributes)
}

func (l *Link) addToxicBothDirections(toxicType, attributes string) error {
	return errors.CombineErrors(
		l.addToxic(toxicType, "upstream", attributes),
		l.addToxic(toxicType, "downstream", attributes),
	)
}

func (l *Link) addToxic(toxicType, direction, attributes string) error {
	l.toxicCount++
	spec := fmt.Sprintf(`{"name":"t%d","type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, l.toxicCount, toxicType, direction, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(spec))
	return err
}

// Close closes the link and its connections.
func (l *Link) Close() {
	l.proxy.Stop()
	l.forwarder.close()
}

// Network holds a link for each ordered pair of daemons and a link from each daemon to the log
// service.
type Network struct {
	size      int
	peerLinks map[[2]int]*Link
	logLinks  map[int]*Link
}

// NewNetwork returns a network for daemons 0 to size-1.
func NewNetwork(size int) (*Network, error) {
	n := &Network{size: size, peerLinks: map[[2]int]*Link{}, logLinks: map[int]*Link{}}
	for from := range size {
		logLink, err := NewLink(fmt.Sprintf("log-%d", from))
		if err != nil {
			return nil, err
		}
		n.logLinks[from] = logLink
		for to := range size {
			link, err := NewLink(fmt.Sprintf("peer-%d-%d", from, to))
			if err != nil {
				return nil, err
			}
			n.peerLinks[[2]int{from, to}] = link
		}
	}
	return n, nil
}

// PeerLink returns the link for connections from one daemon to another.
func (n *Network) PeerLink(from, to int) *Link { return n.peerLinks[[2]int{from, to}] }

// LogServiceLink returns the link for connections from a daemon to the log service.
func (n *Network) LogServiceLink(from int) *Link { return n.logLinks[from] }

// advertisedAddress returns the address that daemon i advertises to its peers. It is never
// dialled, because each peer has a route that replaces it.
func (n *Network) advertisedAddress(i int) string { return n.PeerLink(i, i).Address() }

// daemonFlags returns the flags that route the connections of daemon i through the network.
func (n *Network) daemonFlags(i int) []string {
	args := []string{"--advertise-peer", n.advertisedAddress(i)}
	for to := range n.size {
		if to != i {
			args = append(args, "--peer-route", n.advertisedAddress(to)+"="+n.PeerLink(i, to).Address())
		}
	}
	return args
}

// connectDaemon sets the upstream of all links to daemon i.
func (n *Network) connectDaemon(i int, address string) {
	for from := range n.size {
		n.PeerLink(from, i).Connect(address)
	}
}

// forEachBetween calls apply for the links between the daemons in inside and all others, in both
// directions, and returns the combined errors.
func (n *Network) forEachBetween(inside map[int]bool, apply func(*Link) error) error {
	var errs error
	for pair, link := range n.peerLinks {
		if inside[pair[0]] != inside[pair[1]] {
			errs = errors.CombineErrors(errs, apply(link))
		}
	}
	return errs
}

// ForEachBetweenZones calls apply for the links between daemons of different zones, in both
// directions, and returns the combined errors.
func (n *Network) ForEachBetweenZones(zone func(i int) string, apply func(*Link) error) error {
	var errs error
	for pair, link := range n.peerLinks {
		if zone(pair[0]) != zone(pair[1]) {
			errs = errors.CombineErrors(errs, apply(link))
		}
	}
	return errs
}

// Partition cuts the links between the given daemons and all others, in both directions. The log
// service stays reachable.
func (n *Network) Partition(daemons ...int) error {
	return n.forEachBetween(setOf(daemons), func(l *Link) error { l.Cut(); return nil })
}

// Blackhole drops all data between the given daemons and all others without closing connections.
func (n *Network) Blackhole(daemons ...int) error {
	return n.forEachBetween(setOf(daemons), (*Link).Blackhole)
}

// Heal heals every link.
func (n *Network) Heal() error {
	var errs error
	for _, link := range n.peerLinks {
		errs = errors.CombineErrors(errs, link.Heal())
	}
	for _, link := range n.logLinks {
		errs = errors.CombineErrors(errs, link.Heal())
	}
	return errs
}

// Close closes every link.
func (n *Network) Close() {
	for _, link := range n.peerLinks {
		link.Close()
	}
	for _, link := range n.logLinks {
		link.Close()
	}
}

func setOf(daemons []int) map[int]bool {
	set := map[int]bool{}
	for _, d := range daemons {
		set[d] = true
	}
	return set
}

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
	// portWait is far longer than a child process takes to begin its program, also on a busy
	// machine; portPoll is the pause between two tries.
	listenTimeout       = 5 * time.Second
	listenRetryInterval = 5 * time.Millisecond
)

// Link is a TCP path that passes a fault-injecting proxy.
type Link struct {
	proxy      *toxiproxy.Proxy
	forwarder  *forwarder
	toxicCount int
}

// NewLink listens on loopback. Connect names the upstream later.
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

// Address returns where the link listens.
func (l *Link) Address() string { return l.proxy.Listen }

// Connect sets the upstream of new connections.
func (l *Link) Connect(upstream string) { l.forwarder.upstream.Store(&upstream) }

// Cut closes all connections and refuses new ones.
func (l *Link) Cut() { l.proxy.Stop() }

// Heal ends Cut and removes all toxics, which closes silenced connections.
func (l *Link) Heal() error {
	l.proxy.Toxics.ResetToxics(context.Background())
	if l.proxy.Enabled {
		return nil
	}
	return l.start()
}

// start listens. A port that has just been closed stays taken while a child process, forked in
// between, has not yet begun its own program.
func (l *Link) start() error {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryInterval) {
		err := l.proxy.Start()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
	}
}

// Silence swallows all data both ways and closes nothing, on open and new connections.
func (l *Link) Blackhole() error {
	return l.addToxicBothWays("timeout", `{"timeout":0}`)
}

// Delay adds latency with jitter, in milliseconds, in each direction.
func (l *Link) Delay(latencyMS, jitterMS int) error {
	attributes := fmt.Sprintf(`{"latency":%d,"jitter":%d}`, latencyMS, jitterMS)
	return l.addToxicBothWays("latency", attributes)
}

func (l *Link) addToxicBothWays(toxicType, attributes string) error {
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

// Close ends the link.
func (l *Link) Close() {
	l.proxy.Stop()
	l.forwarder.close()
}

// Network holds a link for each ordered pair of daemons, and for each daemon one to the log.
type Network struct {
	size      int
	peerLinks map[[2]int]*Link
	logLinks  map[int]*Link
}

// NewNetwork returns links for daemons 0 to size-1.
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

// Peer returns the link on which one daemon reaches another.
func (n *Network) PeerLink(from, to int) *Link { return n.peerLinks[[2]int{from, to}] }

// Log returns the link on which a daemon reaches the log.
func (n *Network) LogServiceLink(from int) *Link { return n.logLinks[from] }

// advertised is the address that daemon i tells its peers; no one dials it, since each
// of them has a route for it.
func (n *Network) advertisedAddress(i int) string { return n.PeerLink(i, i).Address() }

// flags returns the settings that send daemon i's links through the network.
func (n *Network) daemonFlags(i int) []string {
	args := []string{"--advertise-peer", n.advertisedAddress(i)}
	for to := range n.size {
		if to != i {
			args = append(args, "--peer-route", n.advertisedAddress(to)+"="+n.PeerLink(i, to).Address())
		}
	}
	return args
}

// connect points the links to daemon i at its address.
func (n *Network) connectDaemon(i int, address string) {
	for from := range n.size {
		n.PeerLink(from, i).Connect(address)
	}
}

// each calls do for the links between the daemons of side and all others, both ways.
func (n *Network) forEachBetween(inside map[int]bool, apply func(*Link) error) error {
	var errs error
	for pair, link := range n.peerLinks {
		if inside[pair[0]] != inside[pair[1]] {
			errs = errors.CombineErrors(errs, apply(link))
		}
	}
	return errs
}

// Between calls do for the links between daemons of different data centres, both ways.
func (n *Network) ForEachBetweenZones(zone func(i int) string, apply func(*Link) error) error {
	var errs error
	for pair, link := range n.peerLinks {
		if zone(pair[0]) != zone(pair[1]) {
			errs = errors.CombineErrors(errs, apply(link))
		}
	}
	return errs
}

// Part cuts the given daemons off from all others, both ways. The log stays reachable.
func (n *Network) Partition(daemons ...int) error {
	return n.forEachBetween(setOf(daemons), func(l *Link) error { l.Cut(); return nil })
}

// Silence swallows what the given daemons and all others send each other, closing nothing.
func (n *Network) Blackhole(daemons ...int) error {
	return n.forEachBetween(setOf(daemons), (*Link).Blackhole)
}

// Heal mends every link.
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

// Close ends every link.
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

package cluster

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/ticket"
)

// Secret is the shared secret that every daemon of a test cluster is started with.
const Secret = "test-secret-of-the-fleet"

// Options configures a Cluster.
type Options struct {
	BinDir    string // directory of the compiled programs
	LogOutput io.Writer
	// Zones lists the data centres. Daemon i runs in Zones[i % len(Zones)].
	Zones   []string
	Daemons int
	// DaemonArgs is appended to the flags of every daemon.
	DaemonArgs []string
	// LogServiceArgs is appended to the flags of the stand-in of the log service.
	LogServiceArgs []string
	// Network carries the connections between daemons and from daemons to the log service.
	// When nil, daemons connect directly.
	Network *Network
}

// Cluster is a set of running daemons with the stand-ins of the log service, the instance
// list and the backend servers.
type Cluster struct {
	group
	opts         Options
	LogService   *Process
	InstanceList *Process
	Daemons      []*Process
	Servers      map[string]*Process
}

// New starts the log service, the instance list and the daemons. On error it stops what it
// has started.
func New(opts Options) (*Cluster, error) {
	c := &Cluster{opts: opts, Servers: map[string]*Process{}}
	var err error
	if c.LogService, err = c.startStandin("log", append([]string{"log"}, opts.LogServiceArgs...)...); err != nil {
		return nil, err
	}
	if c.InstanceList, err = c.startStandin("list", "list"); err != nil {
		c.Close()
		return nil, err
	}
	for i := range opts.Daemons {
		if _, err := c.StartDaemon(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) startStandin(name string, args ...string) (*Process, error) {
	p, err := Start(name, filepath.Join(c.opts.BinDir, "standin"), c.opts.LogOutput, args...)
	if err == nil {
		c.add(p)
	}
	return p, err
}

// Zone returns the zone of daemon i.
func (c *Cluster) Zone(i int) string { return c.opts.Zones[i%len(c.opts.Zones)] }

// StartDaemon starts daemon i and adds it to the instance list. If daemon i was started before,
// the new process replaces it in Daemons and in the instance list.
func (c *Cluster) StartDaemon(i int) (*Process, error) {
	logAddress := c.LogService.Address
	if n := c.opts.Network; n != nil {
		n.LogServiceLink(i).Connect(logAddress)
		logAddress = n.LogServiceLink(i).Address()
	}
	name := fmt.Sprintf("d%d", i+1)
	args := []string{
		"--id", name, "--zone", c.Zone(i), "--region", "r1",
		"--listen", "127.0.0.1:0", "--peer", "127.0.0.1:0",
		"--secret", Secret, "--log", "http://" + logAddress,
		"--instances", "http://" + c.InstanceList.Address + "/sd",
	}
	args = append(args, c.opts.DaemonArgs...)
	if n := c.opts.Network; n != nil {
		args = append(args, n.daemonFlags(i)...)
	}
	p, err := Start(name, filepath.Join(c.opts.BinDir, "filbertrilld"), c.opts.LogOutput, args...)
	if err != nil {
		return nil, err
	}
	c.add(p)
	if i < len(c.Daemons) {
		if err := c.unregisterInstance(c.Daemons[i].Field("peers")); err != nil {
			return nil, err
		}
		c.Daemons[i] = p
	} else {
		c.Daemons = append(c.Daemons, p)
	}
	peer := p.Field("peers")
	if n := c.opts.Network; n != nil {
		n.connectDaemon(i, peer)
		peer = n.advertisedAddress(i)
	}
	return p, c.registerInstance(peer, c.Zone(i))
}

func (c *Cluster) registerInstance(peer, zone string) error {
	body := fmt.Sprintf(`{"address":%q,"zone":%q,"state":"live"}`, peer, zone)
	return PostJSON("http://"+c.InstanceList.Address+"/admin/instances", body)
}

// unregisterInstance removes a replaced instance from the instance list, as the platform does.
func (c *Cluster) unregisterInstance(peer string) error {
	body := strings.NewReader(fmt.Sprintf(`{"address":%q}`, peer))
	req, err := http.NewRequest(http.MethodDelete, "http://"+c.InstanceList.Address+"/admin/instances", body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// PostJSON posts a JSON body to an admin URL of a stand-in. A status of 300 or above is an error.
func PostJSON(url, body string) error {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(resp.Body)
		return errors.Newf("%s answered %d: %s", url, resp.StatusCode, text)
	}
	return nil
}

// StartServer starts a backend server of the kind "engine" or "plain" and stores it in Servers
// under its id.
func (c *Cluster) StartServer(id, kind string, args ...string) (*Process, error) {
	p, err := c.startStandin(id, append([]string{kind}, args...)...)
	if err == nil {
		c.Servers[id] = p
	}
	return p, err
}

// KeyHash returns the hex-encoded SHA-256 hash of an API key, the form used in tickets.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Submit submits a ticket with filbertrillctl, waits until it is in force and returns the output.
func (c *Cluster) Submit(t ticket.Ticket) (string, error) {
	file, err := writeTicket(t)
	if err != nil {
		return "", err
	}
	defer func() { _ = os.Remove(file) }()
	return c.Ctl("ticket", "submit", file, "--wait", "in-force")
}

// withDefaults sets the fields that a ticket file may omit to their defaults.
func withDefaults(t ticket.Ticket) ticket.Ticket {
	for i := range t.Accounts {
		a := &t.Accounts[i]
		a.MaxQueued = cmp.Or(a.MaxQueued, ticket.DefaultMaxQueued)
		a.MaxQueuedBytes = cmp.Or(a.MaxQueuedBytes, ticket.DefaultMaxQueuedBytes)
		a.Presence = cmp.Or(a.Presence, ticket.PresenceActive)
	}
	for i := range t.Services {
		s := &t.Services[i]
		s.Deadline = cmp.Or(s.Deadline, ticket.DefaultDeadline)
		s.IdleLimit = cmp.Or(s.IdleLimit, ticket.DefaultIdleLimit)
		s.CutOff = cmp.Or(s.CutOff, ticket.CutOffRefuse)
		s.Scope = cmp.Or(s.Scope, ticket.ScopeZone)
		s.Presence = cmp.Or(s.Presence, ticket.PresenceActive)
	}
	return t
}

func writeTicket(t ticket.Ticket) (string, error) {
	data, err := json.Marshal(withDefaults(t))
	if err != nil {
		return "", err
	}
	f, err := os.CreateTemp("", "ticket-*.json")
	if err != nil {
		return "", err
	}
	_, err = f.Write(data)
	return f.Name(), errors.CombineErrors(err, f.Close())
}

// Ctl runs filbertrillctl with the addresses of all daemons and returns its combined output.
func (c *Cluster) Ctl(args ...string) (string, error) {
	for _, d := range c.Daemons {
		args = append(args, "--daemon", d.Field("peers"))
	}
	args = append(args, "--secret", Secret, "--timeout", "30s")
	cmd := exec.Command(filepath.Join(c.opts.BinDir, "filbertrillctl"), args...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "filbertrillctl %s: %s", strings.Join(args[:2], " "), out)
}

// BinDir returns the directory of the compiled programs.
func (c *Cluster) BinDir() string { return c.opts.BinDir }

// CtlAt runs filbertrillctl with the address of daemon i only and returns its combined output.
func (c *Cluster) CtlAt(i int, args ...string) (string, error) {
	args = append(args, "--daemon", c.Daemons[i].Field("peers"), "--secret", Secret)
	cmd := exec.Command(filepath.Join(c.opts.BinDir, "filbertrillctl"), args...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "filbertrillctl %s", strings.Join(args[:2], " "))
}

// SubmitAt submits a ticket to daemon i only, with additional flags for filbertrillctl.
func (c *Cluster) SubmitAt(i int, t ticket.Ticket, flags ...string) (string, error) {
	file, err := writeTicket(t)
	if err != nil {
		return "", err
	}
	defer func() { _ = os.Remove(file) }()
	return c.CtlAt(i, append([]string{"ticket", "submit", file}, flags...)...)
}

// AwaitReady waits until every daemon reports ready. The timeout covers all daemons together.
func (c *Cluster) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for i := range c.Daemons {
		if err := c.AwaitDaemonReady(i, time.Until(deadline)); err != nil {
			return err
		}
	}
	return nil
}

// AwaitDaemonReady waits until /readyz of daemon i returns 200, and fails after the timeout.
func (c *Cluster) AwaitDaemonReady(i int, timeout time.Duration) error {
	d := c.Daemons[i]
	deadline := time.Now().Add(timeout)
	for {
		resp, err := http.Get("http://" + d.Address + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return errors.Newf("daemon %s did not become ready in time", d.Name)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Close kills every process of the cluster.
func (c *Cluster) Close() { c.killAll() }

// UseBinDirOf sets the directory of the compiled programs to that of another cluster and returns c.
// It allows Ctl and Submit on a Cluster that holds only some daemons of another one.
func (c *Cluster) UseBinDirOf(other *Cluster) *Cluster {
	c.opts.BinDir = other.opts.BinDir
	return c
}

// Command config measures the time from the submission of a ticket until every daemon has
// applied it, with the log fast, slow and flapping. It prints name=value lines.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
)

// Times of a run.
const (
	pollInterval  = 5 * time.Millisecond
	ticketTimeout = 60 * time.Second
	// gapStep is the step by which the gaps between tickets grow, so that tickets arrive at
	// all phases of the poll interval of the log.
	gapStep = 37 * time.Millisecond
)

type flags struct {
	Daemons int `default:"7" help:"Number of daemons, in three data centres."`
	Tickets int `default:"60" help:"Number of tickets for each state of the log."`
}

func main() {
	var f flags
	parsed := kong.Parse(&f, kong.Name("config"), kong.Description("Measures the time until tickets are in force."))
	parsed.FatalIfErrorf(run(f))
}

func run(f flags) error {
	bin, err := os.MkdirTemp("", "filbertrill-bin-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(bin) }()
	root, err := filepath.Abs(".")
	if err != nil {
		return err
	}
	if err := cluster.Build(root, bin); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(bin, "log"))
	if err != nil {
		return err
	}
	c, err := cluster.New(cluster.Options{BinDir: bin, LogOutput: logs, Zones: []string{"z1", "z2", "z3"}, Daemons: f.Daemons})
	if err != nil {
		return err
	}
	defer c.Close()
	b := &benchmark{cluster: c, tickets: f.Tickets, next: 1}
	if err := b.dial(); err != nil {
		return err
	}
	fmt.Printf("daemons=%d\ntickets=%d\n", f.Daemons, f.Tickets)
	return b.measure()
}

// logCondition is a fault mode of the log under which tickets are measured.
type logCondition struct{ name, fault string }

var logConditions = []logCondition{
	{"fast", `{"mode":"none"}`},
	{"slow_500ms", `{"mode":"slow","delay_ms":500}`},
	{"flapping", `{"mode":"flap"}`},
}

// benchmark submits tickets to a fleet and measures them.
type benchmark struct {
	cluster *cluster.Cluster
	clients []pb.DRPCOperatorClient
	tickets int
	next    uint64
}

func (b *benchmark) dial() error {
	for _, d := range b.cluster.Daemons {
		client, _, err := peer.DialOperator(context.Background(), d.Field("peers"), cluster.Secret)
		if err != nil {
			return err
		}
		b.clients = append(b.clients, client)
	}
	return nil
}

func (b *benchmark) measure() error {
	for range 2 * len(b.clients) { // warm-up, until the daemons know each other
		if _, err := b.timeToInForce(); err != nil {
			return err
		}
	}
	for _, condition := range logConditions {
		if err := cluster.PostJSON("http://"+b.cluster.LogService.Address+"/admin/faults", condition.fault); err != nil {
			return err
		}
		var times []time.Duration
		for i := range b.tickets {
			time.Sleep(gapStep * time.Duration(i%8))
			elapsed, err := b.timeToInForce()
			if err != nil {
				return err
			}
			times = append(times, elapsed)
		}
		slices.Sort(times)
		printPercentiles(condition.name, times)
	}
	return nil
}

func printPercentiles(name string, times []time.Duration) {
	percentile := func(fraction float64) int64 {
		return times[min(len(times)-1, int(fraction*float64(len(times))))].Milliseconds()
	}
	fmt.Printf("in_force_%s_p50_ms=%d\n", name, percentile(0.5))
	fmt.Printf("in_force_%s_p99_ms=%d\n", name, percentile(0.99))
	fmt.Printf("in_force_%s_max_ms=%d\n", name, times[len(times)-1].Milliseconds())
}

// timeToInForce submits a ticket to one daemon and returns the time until all daemons have
// applied it.
func (b *benchmark) timeToInForce() (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ticketTimeout)
	defer cancel()
	data, err := json.Marshal(accountTicket(b.next))
	if err != nil {
		return 0, err
	}
	start := time.Now()
	client := b.clients[b.next%uint64(len(b.clients))]
	b.next++
	reply, err := client.SubmitTicket(ctx, &pb.SubmitTicketRequest{
		Ticket:    data,
		WaitFor:   pb.TicketPhase_TICKET_PHASE_LOGGED,
		TimeoutMs: ticketTimeout.Milliseconds(),
	})
	if err != nil {
		return 0, err
	}
	status := reply.GetStatus()
	if status.GetPhase() < pb.TicketPhase_TICKET_PHASE_LOGGED || status.GetPhase() == pb.TicketPhase_TICKET_PHASE_REJECTED {
		return 0, errors.Newf("ticket stopped in phase %v: %s", status.GetPhase(), status.GetDetail())
	}
	for _, client := range b.clients {
		if err := waitUntilApplied(ctx, client, status.GetOffset()); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

func waitUntilApplied(ctx context.Context, client pb.DRPCOperatorClient, offset int64) error {
	for {
		reply, err := client.Status(ctx, &pb.StatusRequest{})
		if err != nil {
			return err
		}
		if reply.GetAppliedOffset() >= offset {
			return nil
		}
		time.Sleep(pollInterval)
	}
}

func accountTicket(number uint64) ticket.Ticket {
	return ticket.Ticket{
		Number: number,
		Author: "measure",
		Reason: "timing",
		Accounts: []ticket.Account{{
			ID:             "a",
			Weight:         float64(number),
			KeyHashes:      []string{},
			MaxQueued:      1,
			MaxQueuedBytes: 1,
			Presence:       ticket.PresenceActive,
		}},
	}
}

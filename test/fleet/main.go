// Command fleet runs a sample fleet on loopback: it starts stand-ins and daemons in three zones,
// submits a ticket, streams one answer and prints commands to try next.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
)

const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 60 * time.Second
	sampleKey    = "sample-key"
)

type flags struct {
	Once    bool   `help:"Exit after the first answer."`
	Bin     string `help:"Directory of the compiled programs." default:"bin"`
	Daemons int    `help:"Number of daemons." default:"3"`
}

func main() {
	var f flags
	kong.Parse(&f)
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logs, err := os.CreateTemp("", "filbertrill-fleet-*.log")
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	fmt.Println("logs:", logs.Name())
	c, err := start(f, logs)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := streamSampleAnswer(c); err != nil {
		return err
	}
	if f.Once {
		return nil
	}
	printUsage(f, c)
	<-ctx.Done()
	return stopAll(c)
}

func start(f flags, logs io.Writer) (*cluster.Cluster, error) {
	c, err := cluster.New(cluster.Options{
		BinDir:    f.Bin,
		LogOutput: logs,
		Zones:     []string{"z1", "z2", "z3"},
		Daemons:   f.Daemons,
	})
	if err != nil {
		return nil, err
	}
	if err := configure(c); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// configure starts the backend servers, submits a ticket with them and waits until every daemon
// is ready.
func configure(c *cluster.Cluster) error {
	t := ticket.Ticket{Number: 1, Author: "fleet", Reason: "sample fleet"}
	t.Accounts = []ticket.Account{{ID: "sample", Weight: 1, KeyHashes: []string{cluster.KeyHash(sampleKey)}}}
	t.Services = []ticket.Service{
		{ID: "drafter", Kind: ticket.ServiceModel, Repeatable: true},
		{ID: "registry", Kind: ticket.ServicePlain},
	}
	for i := range 3 {
		for _, kind := range []string{"engine", "plain"} {
			server, err := startServer(c, kind, i)
			if err != nil {
				return err
			}
			t.Servers = append(t.Servers, server)
		}
	}
	out, err := c.Submit(t)
	if err != nil {
		return err
	}
	fmt.Print(out)
	return c.AwaitReady(readyTimeout)
}

func startServer(c *cluster.Cluster, kind string, i int) (ticket.Server, error) {
	id := fmt.Sprintf("%s-%d", kind, i+1)
	var args []string
	service, slots := "registry", 4
	if kind == "engine" {
		args = []string{"--model", "drafter"}
		service, slots = "drafter", 8
	}
	p, err := c.StartServer(id, kind, args...)
	if err != nil {
		return ticket.Server{}, err
	}
	return ticket.Server{
		ID:      id,
		Service: service,
		Address: p.Address,
		Zone:    fmt.Sprintf("z%d", i+1),
		Slots:   slots,
		State:   ticket.ServerJoined,
	}, nil
}

// streamSampleAnswer sends one request and copies the streamed answer to standard output.
func streamSampleAnswer(c *cluster.Cluster) error {
	body := `{"model":"drafter","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Draft a note."}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Daemons[0].Address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+sampleKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	last := ""
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if scanner.Text() != "" {
			last = scanner.Text()
			fmt.Println(last)
		}
	}
	if last != "data: [DONE]" {
		return errors.Newf("answer ended without [DONE], status %d", resp.StatusCode)
	}
	return nil
}

func printUsage(f flags, c *cluster.Cluster) {
	fmt.Printf(`
The fleet is running. Ctrl-C stops it gracefully. Try:

  curl -N -H "Authorization: Bearer %s" http://%s/v1/chat/completions \
    -d '{"model":"drafter","stream":true,"messages":[{"role":"user","content":"Hello"}]}'

  %s status --daemon %s --secret %s

`, sampleKey, c.Daemons[0].Address, filepath.Join(f.Bin, "filbertrillctl"), c.Daemons[0].Field("peers"), cluster.Secret)
}

// stopAll sends SIGTERM to every daemon and waits until all have exited.
func stopAll(c *cluster.Cluster) error {
	fmt.Println("stopping gracefully")
	for _, d := range c.Daemons {
		d.Signal(syscall.SIGTERM)
	}
	for _, d := range c.Daemons {
		if !d.Wait(stopTimeout) {
			return errors.Newf("daemon %s did not stop in time", d.Name)
		}
	}
	return nil
}

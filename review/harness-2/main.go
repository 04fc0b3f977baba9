// Command harness2 plays the cases 6 to 10 of the second review on loopback addresses.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var (
	root    string // of the repository
	trouble = os.Getenv("TROUBLE") != "0"
	quick   = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
)

func check(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

type cannotRun struct{ error }

func newID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

func configRecord(version int, routes []map[string]any, services []string, keys ...string) []byte {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"Name": s, "HealthCheckPath": "/health", "ConnectionLimit": 100, "Protocol": "h1", "Tls": false})
	}
	c := map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TokensPerS": 500000},
	}
	if len(keys) > 0 {
		c["Tenants"] = []map[string]any{{"Name": "tenant-a", "ApiKeys": keys, "Priority": 1}}
	}
	data, err := json.Marshal(c)
	check(err)
	return data
}

// engineConfigRecord is configRecord for a service of model engines.
func engineConfigRecord(version int, routes []map[string]any, service string, keys ...string) []byte {
	var c map[string]any
	check(json.Unmarshal(configRecord(version, routes, []string{service}, keys...), &c))
	c["Services"].([]any)[0].(map[string]any)["Engine"] = map[string]any{
		"Slots": 64, "KvCacheTokens": 832343, "TokenKvBytes": 35136, "LinkBandwidthMbps": 260000.0, "Moves": true, "Backups": true, "Stride": 6, "most": 12,
		"PinMs": 4000.0, "HoldMs": 2000.0, "HandleTtlS": 5.0, "Models": []map[string]any{{"Name": "m"}},
	}
	data, err := json.Marshal(c)
	check(err)
	return data
}

func route(name, prefix, kind, service string, attempts, timeoutMs int) map[string]any {
	return map[string]any{
		"Name": name, "Host": "host.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": 120, "Priority": 1,
		"Service": service, "MaxAttempts": attempts, "Public": false, "SessionAffinity": false, "StreamResumption": false,
	}
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == runnerCommand {
		runStreamRunner(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE FOLDER")
		os.Exit(2)
	}
	var err error
	root, err = os.Getwd()
	if err != nil {
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns its exit status.
func play(name, folder string) (status int) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2
	}
	rec := newRecorder(filepath.Join(folder, "record.txt"))
	f := &fleet{rec: rec, dir: dir}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() { // nothing that was started stays behind
		<-stopped
		f.end()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	defer func() {
		if p := recover(); p != nil {
			rec.logf("the case could not run: %v", p)
			fmt.Printf("the case could not run: %v\n", p)
			for _, d := range f.daemons {
				log, _ := os.ReadFile(filepath.Join(dir, d.id+".log"))
				rec.logf("log of %s:\n%s", d.id, log[max(0, len(log)-2000):])
			}
			status = 2
		}
		f.end()
		rec.logf("exit status %d", status)
		fmt.Printf("exit status %d\n", status)
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		} else {
			fmt.Println("logs in", dir)
		}
	}()
	c, ok := cases[name]
	if !ok {
		return 2
	}
	if c(f) {
		return 1
	}
	return 0
}

// fleet holds what a case has started.
type fleet struct {
	rec     *recorder
	dir     string
	daemons []*daemon
	runners []*processRunner
}

func (f *fleet) end() {
	for _, d := range f.daemons {
		d.end()
	}
	for _, r := range f.runners {
		r.kill()
	}
}

var cases = map[string]func(*fleet) bool{
	"torn-refusal": tornRefusal,
	"torn-answer":  tornAnswer,
	"reborn":       reborn,
	"stray-entry":  strayEntry,
	"silent-end":   silentEnd,
}

// startDaemons starts a daemon in each of three zones, with the store's address, and waits until they are ready.
func (f *fleet) startDaemons(s *store) {
	var seeds []string
	for _, zone := range []string{"za", "zb", "zc"} {
		d := newDaemon("frontend-"+zone+"-1", zone, f.dir)
		d.storeAddr = s.addr
		f.daemons = append(f.daemons, d)
		seeds = append(seeds, d.control)
	}
	for _, d := range f.daemons {
		d.seeds = seeds
		d.start()
	}
	for _, d := range f.daemons {
		if !d.awaitReady() {
			panic("a daemon is not ready")
		}
	}
	time.Sleep(2 * time.Second)
}

// client keeps a connection for many requests.
type client struct {
	entry string
	rec   *recorder
	http  *http.Client
}

func newClient(rec *recorder, entry string) *client {
	return &client{entry, rec, &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

func (c *client) send(method, path, id, key string, deadline time.Duration) (a answer) {
	c.rec.logf("client sends %s %s %s to %s", method, path, id, c.entry)
	defer func() { c.rec.logf("client of %s gets %d %q (%v)", id, a.status, a.body, a.err) }()
	q, err := http.NewRequest(method, "http://"+c.entry+path, nil)
	check(err)
	q.Host = "host.example"
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("Api-Key", key)
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	r, err := c.http.Do(q.WithContext(ctx))
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return answer{r.StatusCode, r.Header, string(body), err}
}

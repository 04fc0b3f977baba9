package answers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
)

// soakResults counts the outcomes of the requests of a soak test.
type soakResults struct {
	mu           sync.Mutex
	requests     int
	complete     int
	resumed      int            // complete after they were resumed at another daemon
	disconnected int            // given up by their callers
	failed       map[string]int // by result code and outcome
	corrupted    []string       // descriptions of answers that were truncated, mixed up or falsely reported as complete
	notRun       []string       // bodies of requests whose outcome was "not_run"
}

func (r *soakResults) add(a answer, tokens int, body string, disconnected, resumed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	switch {
	case disconnected:
		r.disconnected++
	case a.mismatch(tokens) == "":
		r.complete++
		if resumed {
			r.resumed++
		}
	case a.complete:
		r.corrupted = append(r.corrupted, a.mismatch(tokens))
	case a.text != wantText(a.attemptID, min(a.lastEventID+1, tokens)): // the event after the last token has no text
		r.corrupted = append(r.corrupted, "text does not match the event ids: "+a.text)
	case a.code == "" && a.status != 0:
		r.corrupted = append(r.corrupted, fmt.Sprintf("ended without end marker and error: %+v", a))
	default:
		r.failed[a.code+" "+a.outcome]++
		if a.outcome == "not_run" {
			r.notRun = append(r.notRun, body)
		}
	}
}

// soakTest sends requests while engines and links fail, daemons are killed and callers disconnect.
type soakTest struct {
	t         *testing.T
	fleet     *cluster.Fleet
	engines   []*cluster.Process
	links     []*cluster.Link
	results   soakResults
	daemonsMu sync.RWMutex // guards fleet.Daemons
}

func newSoakTest(t *testing.T) *soakTest {
	s := &soakTest{t: t, fleet: startFleet(t, 3), results: soakResults{failed: map[string]int{}}}
	s.fleet.NextTicket.Services[0].Deadline = ticket.Duration(10 * time.Second)
	for i := range 3 {
		engine := s.fleet.AddEngine(s.fleet.Zone(i), 6, "--token-interval", "5ms")
		link, err := cluster.NewLink(engine.Name)
		require.NoError(t, err)
		t.Cleanup(link.Close)
		link.Connect(engine.Address)
		s.fleet.NextTicket.Servers[i].Address = link.Address()
		s.engines = append(s.engines, engine)
		s.links = append(s.links, link)
	}
	s.fleet.SubmitNext()
	return s
}

func (s *soakTest) daemonAddress(i int) string {
	s.daemonsMu.RLock()
	defer s.daemonsMu.RUnlock()
	return s.fleet.Daemons[i%len(s.fleet.Daemons)].Address
}

// runCaller sends requests one after the other until ctx is done.
func (s *soakTest) runCaller(ctx context.Context, seed, id uint64) {
	random := rand.New(rand.NewPCG(seed, id))
	for n := 0; ctx.Err() == nil; n++ {
		s.runRequest(random, fmt.Sprintf("%d-%d-%d", seed, id, n))
	}
}

// runRequest sends a request and resumes its answer at other daemons if it is interrupted. Some requests
// are canceled at a random time.
func (s *soakTest) runRequest(random *rand.Rand, user string) {
	tokens := 1 + random.IntN(60)
	stream := random.IntN(4) > 0
	body := fmt.Sprintf(`{"model":"drafter","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"m"}],"user":%q}`, stream, tokens, user)
	ctx, cancel := context.WithTimeout(context.Background(), cluster.WaitTimeout)
	defer cancel()
	disconnect := random.IntN(12) == 0
	if disconnect {
		time.AfterFunc(time.Duration(random.IntN(150))*time.Millisecond, cancel)
	}
	daemon := random.IntN(3)
	req := newChatRequest(s.t, s.daemonAddress(daemon), body).WithContext(ctx)
	a, err := send(req)
	resumed := false
	for n := 1; err != nil && !disconnect && a.resumeToken != "" && n <= 20; n++ {
		resumed = true
		err = s.resume(ctx, &a, daemon+n)
	}
	s.results.add(a, tokens, body, disconnect, resumed)
}

// resume resumes an interrupted answer at another daemon.
func (s *soakTest) resume(ctx context.Context, a *answer, daemon int) error {
	req := newResumeRequest(s.t, s.daemonAddress(daemon), "key-small", a.resumeToken, a.lastEventID).WithContext(ctx)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return a.read(resp, -1)
}

var soakFaults = []string{
	`{}`,
	`{"count":3,"duplicate_events":true}`,
	`{"count":3,"foreign_id":"other"}`,
	`{"mode":"close_mid_stream","count":4,"after_tokens":7}`,
	`{"mode":"close_mid_stream","count":2}`,
	`{"mode":"silent","count":1}`,
	`{"mode":"lose_answer","count":2}`,
	`{"mode":"close_after_read","count":2}`,
	`{"mode":"refuse","count":3}`,
	`{"mode":"http_500","count":2}`,
	`{"mode":"slow","count":2,"delay_ms":300}`,
}

// injectRandomFault injects one random fault and returns its name.
func (s *soakTest) injectRandomFault(random *rand.Rand) string {
	i := random.IntN(len(s.engines))
	switch n := random.IntN(20); {
	case n == 0:
		s.links[i].Cut()
		time.AfterFunc(300*time.Millisecond, func() { _ = s.links[i].Heal() })
		return "link cut"
	case n == 1:
		_ = s.links[i].Blackhole()
		time.AfterFunc(800*time.Millisecond, func() { _ = s.links[i].Heal() })
		return "link silent"
	case n == 2:
		s.killAndRestart(random.IntN(3))
		return "daemon killed"
	default:
		setFault(s.t, s.engines[i], soakFaults[random.IntN(len(soakFaults))])
		return "engine fault"
	}
}

func (s *soakTest) killAndRestart(i int) {
	s.daemonsMu.RLock()
	p := s.fleet.Daemons[i]
	s.daemonsMu.RUnlock()
	p.Kill()
	s.daemonsMu.Lock()
	defer s.daemonsMu.Unlock()
	_, err := s.fleet.StartDaemon(i)
	require.NoError(s.t, err)
}

// run sends requests and injects faults for the duration, then checks the results.
func (s *soakTest) run(seed uint64, duration, faultInterval time.Duration) {
	ctx, stop := context.WithTimeout(s.t.Context(), duration)
	defer stop()
	var callers sync.WaitGroup
	for id := range uint64(16) {
		callers.Go(func() { s.runCaller(ctx, seed, id) })
	}
	random := rand.New(rand.NewPCG(seed, 1<<32))
	faults := map[string]int{}
	for ctx.Err() == nil {
		faults[s.injectRandomFault(random)]++
		time.Sleep(faultInterval)
	}
	callers.Wait()
	s.checkResults(seed, faults)
}

// checkResults checks that no answer was corrupted and that no request reported as not run was run.
func (s *soakTest) checkResults(seed uint64, faults map[string]int) {
	r := &s.results
	s.t.Logf("seed=%d requests=%d complete=%d resumed=%d disconnected=%d failed=%v faults=%v corrupted=%d",
		seed, r.requests, r.complete, r.resumed, r.disconnected, r.failed, faults, len(r.corrupted))
	require.Empty(s.t, r.corrupted)
	require.Positive(s.t, r.complete)
	ranUsers := map[string]bool{}
	for _, run := range listRuns(s.t, s.engines...) {
		ranUsers[run.User] = true
	}
	falseRefusals := 0
	for _, body := range r.notRun {
		if ranUsers[userField(s.t, body)] {
			falseRefusals++
		}
	}
	s.t.Logf("seed=%d not_run=%d false_refusals=%d", seed, len(r.notRun), falseRefusals)
	require.Zero(s.t, falseRefusals)
}

// TestShortSoak runs the soak test with a fixed seed for a few seconds.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	newSoakTest(t).run(1, 8*time.Second, 100*time.Millisecond)
}

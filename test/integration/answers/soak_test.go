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

// tally counts what callers heard over a soak.
type tally struct {
	mu       sync.Mutex
	requests int
	whole    int
	resumed  int // continued at another daemon
	left     int // by their callers
	failed   map[string]int
	wrong    []string // cut, mixed or falsely complete answers
	refused  []string // times at which requests were told to be not run, by request text
}

func (s *tally) add(a answer, tokens int, body string, left, resumed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	switch {
	case left:
		s.left++
	case a.wrong(tokens) == "":
		s.whole++
		if resumed {
			s.resumed++
		}
	case a.done:
		s.wrong = append(s.wrong, a.wrong(tokens))
	case a.text != text(a.attempt, min(a.last+1, tokens)): // the event after the tokens has no text
		s.wrong = append(s.wrong, "cut inside: "+a.text)
	case a.code == "" && a.status != 0:
		s.wrong = append(s.wrong, fmt.Sprintf("ends without a word: %+v", a))
	default:
		s.failed[a.code+" "+a.outcome]++
		if a.outcome == "not_run" {
			s.refused = append(s.refused, body)
		}
	}
}

// soak mixes faults of the engines and links, deaths of daemons and callers that leave.
type soak struct {
	t       *testing.T
	f       *cluster.Fleet
	engines []*cluster.Process
	links   []*cluster.Link
	tally   tally
	mu      sync.RWMutex // over f.Daemons
}

func newSoak(t *testing.T) *soak {
	s := &soak{t: t, f: startFleet(t, 3), tally: tally{failed: map[string]int{}}}
	s.f.NextTicket.Services[0].Deadline = ticket.Duration(10 * time.Second)
	for i := range 3 {
		engine := s.f.AddEngine(s.f.Zone(i), 6, "--token-interval", "5ms")
		link, err := cluster.NewLink(engine.Name)
		require.NoError(t, err)
		t.Cleanup(link.Close)
		link.Connect(engine.Address)
		s.f.NextTicket.Servers[i].Address = link.Address()
		s.engines = append(s.engines, engine)
		s.links = append(s.links, link)
	}
	s.f.SubmitNext()
	return s
}

func (s *soak) address(i int) string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.f.Daemons[i%len(s.f.Daemons)].Address
}

// caller sends requests until the context ends.
func (s *soak) caller(ctx context.Context, seed, id uint64) {
	random := rand.New(rand.NewPCG(seed, id))
	for n := 0; ctx.Err() == nil; n++ {
		s.request(random, fmt.Sprintf("%d-%d-%d", seed, id, n))
	}
}

func (s *soak) request(random *rand.Rand, marker string) {
	tokens := 1 + random.IntN(60)
	stream := random.IntN(4) > 0
	body := fmt.Sprintf(`{"model":"drafter","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"m"}],"user":%q}`, stream, tokens, marker)
	ctx, cancel := context.WithTimeout(context.Background(), cluster.WaitTimeout)
	defer cancel()
	left := random.IntN(12) == 0
	if left {
		time.AfterFunc(time.Duration(random.IntN(150))*time.Millisecond, cancel)
	}
	daemon := random.IntN(3)
	req := chatRequest(s.t, s.address(daemon), body).WithContext(ctx)
	a, err := do(req)
	resumed := false
	for n := 1; err != nil && !left && a.token != "" && n <= 20; n++ {
		resumed = true
		err = s.resume(ctx, &a, daemon+n)
	}
	s.tally.add(a, tokens, body, left, resumed)
}

// resume continues a cut answer at another daemon.
func (s *soak) resume(ctx context.Context, a *answer, daemon int) error {
	req := resumeRequest(s.t, s.address(daemon), "key-small", a.token, a.last).WithContext(ctx)
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

// harm injects one failure and returns its name.
func (s *soak) harm(random *rand.Rand) string {
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
		s.restart(random.IntN(3))
		return "daemon killed"
	default:
		fault(s.t, s.engines[i], soakFaults[random.IntN(len(soakFaults))])
		return "engine fault"
	}
}

func (s *soak) restart(i int) {
	s.mu.RLock()
	p := s.f.Daemons[i]
	s.mu.RUnlock()
	p.Kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.f.StartDaemon(i)
	require.NoError(s.t, err)
}

// run lets callers and failures go on for the time, and checks what was heard.
func (s *soak) run(seed uint64, duration, pause time.Duration) {
	ctx, stop := context.WithTimeout(s.t.Context(), duration)
	defer stop()
	var callers sync.WaitGroup
	for id := range uint64(16) {
		callers.Go(func() { s.caller(ctx, seed, id) })
	}
	random := rand.New(rand.NewPCG(seed, 1<<32))
	faults := map[string]int{}
	for ctx.Err() == nil {
		faults[s.harm(random)]++
		time.Sleep(pause)
	}
	callers.Wait()
	s.report(seed, faults)
}

func (s *soak) report(seed uint64, faults map[string]int) {
	t := &s.tally
	s.t.Logf("seed=%d requests=%d whole=%d continued_elsewhere=%d left=%d failed=%v faults=%v cut_or_mixed=%d",
		seed, t.requests, t.whole, t.resumed, t.left, t.failed, faults, len(t.wrong))
	require.Empty(s.t, t.wrong)
	require.Positive(s.t, t.whole)
	seen := map[string]bool{}
	for _, run := range ledger(s.t, s.engines...) {
		seen[run.User] = true
	}
	falseRefusals := 0
	for _, body := range t.refused {
		if seen[userOf(s.t, body)] {
			falseRefusals++
		}
	}
	s.t.Logf("seed=%d not_run=%d false_refusals=%d", seed, len(t.refused), falseRefusals)
	require.Zero(s.t, falseRefusals)
}

// TestShortSoak runs a fixed seed for a few seconds.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	newSoak(t).run(1, 8*time.Second, 100*time.Millisecond)
}

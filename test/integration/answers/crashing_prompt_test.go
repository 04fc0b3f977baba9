package answers

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
)

const (
	crashingPrompt = "crashes engines"
	// contactWindow and maxSentAfterWindow are the bounds of the users' platform.
	contactWindow      = 3 * time.Second
	maxSentAfterWindow = 3
)

// crashingEngine is an engine that ends when it begins an answer to a prompt with crashingPrompt, and starts again at
// its address half a second later.
type crashingEngine struct {
	address string
	record  func(now time.Time) // called with the time of each arrival of such a prompt
	mu      sync.Mutex
	server  *http.Server
}

func (e *crashingEngine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	return nil
}

func (e *crashingEngine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}

func (e *crashingEngine) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.NotFound(w, r) // no run is known
		return
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	if strings.Contains(string(body), crashingPrompt) {
		e.record(time.Now())
		e.close()
		time.AfterFunc(500*time.Millisecond, func() { _ = e.start() })
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	fmt.Fprintf(w, "id: %s:0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
}

func TestPromptsThatEndEnginesAreHeldBack(t *testing.T) {
	f := startFleet(t, 3)
	var mu sync.Mutex
	var arrived []time.Time
	for i := range 8 {
		engine := &crashingEngine{address: "127.0.0.1:0", record: func(now time.Time) {
			mu.Lock()
			defer mu.Unlock()
			arrived = append(arrived, now)
		}}
		require.NoError(t, engine.start())
		t.Cleanup(engine.close)
		f.NextTicket.Servers = append(f.NextTicket.Servers, ticket.Server{
			ID: fmt.Sprint("engine-", i), Service: "drafter", Address: engine.address, Zone: "z1", Slots: 4, State: ticket.ServerJoined,
		})
	}
	f.SubmitNext()
	// All prompts with crashingPrompt share their first kilobyte and nothing else.
	system := strings.Repeat(crashingPrompt+". ", 100)
	var callers sync.WaitGroup
	for i, end := 0, time.Now().Add(2*contactWindow); time.Now().Before(end); i++ {
		messages, err := json.Marshal([]map[string]string{{"role": "system", "content": system}, {"role": "user", "content": fmt.Sprint("question ", i)}})
		require.NoError(t, err)
		body := fmt.Sprintf(`{"model":"drafter","stream":true,"max_tokens":5,"messages":%s}`, messages)
		callers.Go(func() { _, _ = send(newChatRequest(t, f.Daemons[i%3].Address, body)) }) // answers may be broken off
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	require.NotEmpty(t, arrived)
	fifth := arrived[min(len(arrived), 5)-1]
	late := 0
	for _, at := range arrived {
		if at.Sub(fifth) > contactWindow {
			late++
		}
	}
	t.Logf("%d requests reached engines", len(arrived))
	assert.LessOrEqual(t, late, maxSentAfterWindow)

	sound := `{"model":"drafter","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"sound"}]}`
	got, err := send(newChatRequest(t, f.Daemons[0].Address, sound))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, got.status)
}

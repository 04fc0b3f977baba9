package answers

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

// silences are times for which a sound engine may send nothing and then go on. Both are longer than an idle limit of the
// tests, and the second is longer than all that a running answer may be silent.
var silences = []time.Duration{800 * time.Millisecond, 1300 * time.Millisecond}

// shortIdleLimit is an idle limit that a silent engine exceeds several times before it goes on.
const shortIdleLimit = 300 * time.Millisecond

// addModel adds a service with its own engines to the next ticket and returns the engines.
func addModel(t *testing.T, f *cluster.Fleet, id string, repeatable bool, engines int) []*cluster.Process {
	t.Helper()
	f.NextTicket.Services = append(f.NextTicket.Services, ticket.Service{
		ID: id, Kind: ticket.ServiceModel, Repeatable: repeatable, IdleLimit: ticket.Duration(shortIdleLimit),
	})
	var added []*cluster.Process
	for i := range engines {
		serverID := fmt.Sprintf("%s-%d", id, i+1)
		p, err := f.StartServer(serverID, "engine", "--model", id, "--slots", "4", "--token-interval", "20ms")
		require.NoError(t, err)
		f.NextTicket.Servers = append(f.NextTicket.Servers, ticket.Server{
			ID: serverID, Service: id, Address: p.Address, Zone: "z1", Slots: 4, State: ticket.ServerJoined,
		})
		added = append(added, p)
	}
	return added
}

// requireNoRunLeft checks that all runs at the engines finish or are cancelled, before the engines' resume window of 30 s ends them.
func requireNoRunLeft(t *testing.T, engines ...*cluster.Process) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, run := range listRuns(t, engines...) {
			if run.Outcome == runs.Running {
				return false
			}
		}
		return true
	}, cluster.WaitTimeout, 50*time.Millisecond, "a run goes on for nobody")
	for _, run := range listRuns(t, engines...) {
		require.NotEqual(t, runs.Abandoned, run.Outcome, "a run went on for nobody: %+v", run)
	}
}

// Guards against a request that is given up, or run again at the same engine, because the only engine falls silent before
// its answer begins.
func TestOnlyEngineIsWaitedForBeforeTheAnswer(t *testing.T) {
	f := startFleet(t, 1)
	engines := map[bool][]*cluster.Process{
		true:  addModel(t, f, "repeatable", true, 1),
		false: addModel(t, f, "once", false, 1),
	}
	f.SubmitNext()
	for _, repeatable := range []bool{true, false} {
		for _, stream := range []bool{true, false} {
			for _, silence := range silences {
				t.Run(fmt.Sprintf("repeatable %t, stream %t, %s", repeatable, stream, silence), func(t *testing.T) {
					engine := engines[repeatable][0]
					before := len(listRuns(t, engine))
					engine.Pause()
					defer engine.Resume()
					time.AfterFunc(silence, engine.Resume)
					a, err := send(newChatRequest(t, f.Daemons[0].Address, bodyFor(serviceName(repeatable), 20, stream)))
					require.NoError(t, err)
					require.Empty(t, a.mismatch(20))
					require.Len(t, listRuns(t, engine), before+1, "%+v", listRuns(t, engine))
				})
			}
		}
	}
}

func serviceName(repeatable bool) string {
	if repeatable {
		return "repeatable"
	}
	return "once"
}

func bodyFor(service string, tokens int, stream bool) string {
	return strings.Replace(chatBody(tokens, stream), "drafter", service, 1)
}

// Guards against a run that is cancelled, or begun a second time, at the only engine that falls silent behind the first tokens
// of an answer that the caller has nothing of.
func TestOnlyEngineIsWaitedForInBufferedAnswer(t *testing.T) {
	f := startFleet(t, 1)
	engine := addModel(t, f, "repeatable", true, 1)[0]
	f.SubmitNext()
	for _, silence := range silences {
		t.Run(silence.String(), func(t *testing.T) {
			before := len(listRuns(t, engine))
			time.AfterFunc(200*time.Millisecond, func() {
				engine.Pause()
				time.AfterFunc(silence, engine.Resume)
			})
			a, err := send(newChatRequest(t, f.Daemons[0].Address, bodyFor("repeatable", 60, false)))
			require.NoError(t, err)
			require.Empty(t, a.mismatch(60))
			require.Len(t, listRuns(t, engine), before+1, "%+v", listRuns(t, engine))
		})
	}
}

// Guards against a request that waits for a silent engine while another one could answer, and against runs that go on for
// nobody.
func TestAnotherEngineTakesOverFromSilentOne(t *testing.T) {
	f := startFleet(t, 1)
	engines := addModel(t, f, "repeatable", true, 3)
	f.SubmitNext()
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			for _, engine := range engines[:2] {
				engine.Pause()
				defer engine.Resume()
			}
			for range 4 {
				a, err := send(newChatRequest(t, f.Daemons[0].Address, bodyFor("repeatable", 20, stream)))
				require.NoError(t, err)
				require.Empty(t, a.mismatch(20))
			}
			for _, engine := range engines[:2] {
				engine.Resume()
			}
			requireNoRunLeft(t, engines...)
		})
	}
}

// Guards against a request that is refused because all engines of its service fall silent at once.
func TestAllEnginesFallSilent(t *testing.T) {
	f := startFleet(t, 1)
	engines := addModel(t, f, "repeatable", true, 3)
	f.SubmitNext()
	for _, stream := range []bool{true, false} {
		for _, silence := range silences {
			t.Run(fmt.Sprintf("stream %t, %s", stream, silence), func(t *testing.T) {
				for _, engine := range engines {
					engine.Pause()
					defer engine.Resume()
					time.AfterFunc(silence, engine.Resume)
				}
				a, err := send(newChatRequest(t, f.Daemons[0].Address, bodyFor("repeatable", 20, stream)))
				require.NoError(t, err)
				require.Empty(t, a.mismatch(20))
				requireNoRunLeft(t, engines...)
			})
		}
	}
}

// Guards against a request that is lost where a ticket takes away all other engines while the one that runs it is silent.
func TestTicketTakesAlternativesAwayFromSilentEngine(t *testing.T) {
	f := startFleet(t, 1)
	engines := addModel(t, f, "repeatable", true, 2)
	f.SubmitNext()
	resp, err := http.DefaultClient.Do(newChatRequest(t, f.Daemons[0].Address, bodyFor("repeatable", 1, true)))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	for _, engine := range engines {
		engine.Pause()
		defer engine.Resume()
	}
	done := make(chan answer, 1)
	go func() {
		a, _ := send(newChatRequest(t, f.Daemons[0].Address, bodyFor("repeatable", 20, true)))
		done <- a
	}()
	time.Sleep(100 * time.Millisecond)
	for i := range f.NextTicket.Servers {
		f.NextTicket.Servers[i].State = ticket.ServerLeaving
	}
	f.SubmitNext()
	time.Sleep(1300 * time.Millisecond)
	for _, engine := range engines {
		engine.Resume()
	}
	a := <-done
	require.Empty(t, a.mismatch(20))
	requireNoRunLeft(t, engines...)
}

// Guards against a second run of a request whose engine never answers on its connection and stands still when it is resumed.
func TestAnswerThatIsResumedAtStalledEngineRunsOnce(t *testing.T) {
	f := startFleet(t, 1)
	engine := f.AddEngine("z1", 4, "--token-interval", "5ms")
	f.SubmitNext()
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			before := len(listRuns(t, engine))
			setFault(t, engine, `{"mode":"silent","count":1}`)
			defer setFault(t, engine, `{}`)
			time.AfterFunc(idleLimit/2, func() {
				engine.Pause()
				time.AfterFunc(4*idleLimit, engine.Resume)
			})
			a := sendChat(t, f, 0, 40, stream)
			require.Empty(t, a.mismatch(40))
			require.Len(t, listRuns(t, engine), before+1, "%+v", listRuns(t, engine))
		})
	}
}

// Guards against a result that is that of an earlier attempt where the deadline ends the last one.
func TestDeadlineEndsLastRepeatOfRefusedRequest(t *testing.T) {
	f := startFleet(t, 1)
	const limit = 2 * time.Second
	f.NextTicket.Services[0].Deadline = ticket.Duration(limit)
	engine := f.AddEngine("z1", 1, "--token-interval", "10ms")
	f.SubmitNext()
	waitUntilServed(t, f)
	setFault(t, engine, `{"mode":"http_500"}`)
	time.AfterFunc(limit/8, engine.Pause)
	defer engine.Resume()
	started := time.Now()
	a := sendChat(t, f, 0, 5, true)
	require.GreaterOrEqual(t, time.Since(started), limit)
	require.Equal(t, "3002", a.code, "%+v", a)
	require.Equal(t, "unknown", a.outcome, "%+v", a)
}

// Guards against a call whose outcome is lost because its plain server falls silent before the answer.
func TestOnlyPlainServerIsWaitedFor(t *testing.T) {
	f := startFleet(t, 1)
	f.NextTicket.Services[1].IdleLimit = ticket.Duration(shortIdleLimit)
	server := f.AddPlainServer("z1", 1)
	f.SubmitNext()
	for _, silence := range silences {
		t.Run(silence.String(), func(t *testing.T) {
			before := len(listRuns(t, server))
			server.Pause()
			defer server.Resume()
			time.AfterFunc(silence, server.Resume)
			status, header, body := f.Call(0, "key-small", http.MethodPost, "/v1/services/registry/entries", "{}")
			require.Equal(t, http.StatusOK, status, "%s %s", header.Get("X-Result-Code"), body)
			require.Len(t, listRuns(t, server), before+1)
		})
	}
}

// Guards against a run for nobody at an engine that reads the request after its caller has gone.
func TestRunOfGoneCallerIsCancelledAtSilentEngine(t *testing.T) {
	f := startFleet(t, 1)
	engine := f.AddEngine("z1", 8, "--token-interval", "20ms")
	f.SubmitNext()
	engine.Pause()
	defer engine.Resume()
	for range 8 {
		ctx, disconnect := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer disconnect()
		resp, err := http.DefaultClient.Do(newChatRequest(t, f.Daemons[0].Address, chatBody(100_000, true)).WithContext(ctx))
		if err == nil { // the engine stopped late
			require.NoError(t, resp.Body.Close())
		}
	}
	engine.Resume()
	time.Sleep(time.Second)
	requireNoRunLeft(t, engine)
}

// Guards against requests that are refused, or cut, because the log, or another daemon of the fleet, falls silent.
func TestRequestsOutlastSilentLogAndDaemons(t *testing.T) {
	f := startFleet(t, 3, "--claim-timeout", "10s")
	f.NextTicket.Services[0].IdleLimit = ticket.Duration(cluster.WaitTimeout)
	f.AddEngine("z1", 16, "--token-interval", "20ms")
	f.AddPlainServer("z1", 4)
	f.SubmitNext()
	for name, process := range map[string]*cluster.Process{"log": f.LogService, "second daemon": f.Daemons[1], "third daemon": f.Daemons[2]} {
		for _, silence := range silences {
			t.Run(name+", "+silence.String(), func(t *testing.T) {
				time.AfterFunc(200*time.Millisecond, func() {
					process.Pause()
					time.AfterFunc(silence, process.Resume)
				})
				const requests = 8
				answers, errs := make(chan answer, requests), make(chan error, requests)
				for i := range requests {
					go func() {
						time.Sleep(time.Duration(i) * 200 * time.Millisecond)
						a, err := send(newChatRequest(t, f.Daemons[0].Address, chatBody(40, i%2 == 0)))
						answers <- a
						errs <- err
					}()
				}
				for range requests / 2 {
					key := uuid.Must(uuid.NewV7()).String()
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.Daemons[0].Address+"/v1/services/registry/stamps", strings.NewReader("{}"))
					require.NoError(t, err)
					req.Header.Set("Authorization", "Bearer key-small")
					req.Header.Set("Idempotency-Key", key)
					resp, err := http.DefaultClient.Do(req)
					require.NoError(t, err)
					require.Equal(t, http.StatusCreated, resp.StatusCode, resp.Header.Get("X-Result-Code"))
					require.NoError(t, resp.Body.Close())
					time.Sleep(200 * time.Millisecond)
				}
				for range requests {
					a := <-answers
					require.NoError(t, <-errs)
					require.Empty(t, a.mismatch(40))
				}
			})
		}
	}
}

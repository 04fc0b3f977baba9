package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// faultyPeer answers pulls with the given messages.
type faultyPeer struct {
	pb.DRPCExchangeUnimplementedServer
	records *pb.Records
	prompts *pb.Prompts
}

func (p faultyPeer) Pull(context.Context, *pb.PullRequest) (*pb.Records, error) {
	return p.records, nil
}

func (p faultyPeer) PullPrompts(context.Context, *pb.PullRequest) (*pb.Prompts, error) {
	return p.prompts, nil
}

// serve serves pulls until the test ends. It returns the address.
func (p faultyPeer) serve(t *testing.T) string {
	t.Helper()
	mux := drpcmux.New()
	require.NoError(t, pb.DRPCRegisterExchange(mux, &p))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = drpcserver.New(mux).Serve(ctx, listener) }()
	return listener.Addr().String()
}

// serveRaw writes the start and then the text again and again to each connection. It returns the address.
func serveRaw(t *testing.T, start, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = io.WriteString(conn, text)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// repeated returns a list of n times the message.
func repeated[T any](n int, message *T) []*T {
	list := make([]*T, n)
	for i := range list {
		list[i] = message
	}
	return list
}

// peakHeapGrowth returns by how many bytes the heap grows at most while run runs.
func peakHeapGrowth(run func()) uint64 {
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done, peak := make(chan struct{}), before.HeapAlloc
	var measuring sync.WaitGroup
	measuring.Go(func() {
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc)
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	run()
	close(done)
	measuring.Wait()
	return peak - before.HeapAlloc
}

// Guards against a daemon that ends for its memory, because a peer, or what listens at its address, answers pulls without end or
// with millions of empty entries.
func TestPullsOfFaultyPeersStayWithinMemory(t *testing.T) {
	const maxGrowth = 64 << 20 // about a third of the smallest machine's memory
	n := 1_950_000             // 3.9 MB on the wire
	for name, address := range map[string]string{
		"many empty records":       faultyPeer{records: &pb.Records{Servers: repeated(n, &pb.ServerRecord{})}}.serve(t),
		"many engines":             faultyPeer{prompts: &pb.Prompts{Servers: repeated(n, &pb.ServerPrompts{})}}.serve(t),
		"bytes without end":        serveRaw(t, "", strings.Repeat("x", 64<<10)),
		"frame without end":        serveRaw(t, "\x04\x01\x01\xff\xff\xff\x7f", strings.Repeat("x", 64<<10)),
		"empty frames without end": serveRaw(t, "", strings.Repeat("\x04\x01\x01\x00", 16<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			a := newNode(t, "a", "z1")
			t.Cleanup(func() {
				assert.NoError(t, a.conn.Close())
				assert.NoError(t, a.listener.Close())
			})
			growth := peakHeapGrowth(func() {
				_, err := a.PullRecords(context.Background(), address, &pb.PullRequest{})
				_, errParts := a.PullCachedParts(context.Background(), address)
				assert.False(t, err == nil && errParts == nil)
			})
			t.Logf("%d MB", growth>>20)
			assert.Less(t, growth, uint64(maxGrowth))
		})
	}
}

// Guards against bounds that cut off the answers of sound peers.
func TestLargePullsOfSoundPeersAreRead(t *testing.T) {
	const engines, partsEach, servers = 100, 2000, 10_000
	parts := &pb.ServerPrompts{Server: 7, Parts: make([]uint64, partsEach), Tokens: make([]uint32, partsEach), AgeMs: make([]uint32, partsEach)}
	address := faultyPeer{
		records: &pb.Records{Servers: repeated(servers, &pb.ServerRecord{Key: strings.Repeat("k", 40), Value: make([]byte, 300)})},
		prompts: &pb.Prompts{Servers: repeated(engines, parts)},
	}.serve(t)
	a := newNode(t, "a", "z1")
	t.Cleanup(func() {
		assert.NoError(t, a.conn.Close())
		assert.NoError(t, a.listener.Close())
	})
	records, err := a.PullRecords(context.Background(), address, &pb.PullRequest{})
	require.NoError(t, err)
	assert.Len(t, records.Servers, servers)
	prompts, err := a.PullCachedParts(context.Background(), address)
	require.NoError(t, err)
	assert.Len(t, prompts.Servers, engines)
}

// Guards against a daemon that keeps requests without end of faulty callers, as many as they have connections.
func TestLongRequestsOfFaultyPeersAreNotKept(t *testing.T) {
	const callers = 40
	a := newNode(t, "a", "z1")
	a.start(t)
	request := append([]byte("\x04\x01\x01\xff\xff\xff\x7f"), make([]byte, 3<<20)...) // a frame of 256 MB
	var connections []net.Conn
	growth := peakHeapGrowth(func() {
		for range callers {
			conn, err := net.Dial("tcp", a.member.ControlAddress)
			require.NoError(t, err)
			connections = append(connections, conn)
			require.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
			_, _ = conn.Write(request) // an error means that the daemon has closed the connection
		}
	})
	for _, conn := range connections {
		_ = conn.Close()
	}
	t.Logf("%d MB", growth>>20)
	assert.Less(t, growth, uint64(32<<20))
}

// Guards against a daemon that ends for its memory, because datagrams of ever other members hold thousands of empty entries.
func TestDatagramsOfManyMembersStayWithinMemory(t *testing.T) {
	const maxGrowth = 64 << 20
	long := strings.Repeat("x", 60_000)
	unknown := &pb.View{}
	unknown.ProtoReflect().SetUnknown(protowire.AppendString(protowire.AppendTag(nil, 99, protowire.BytesType), long))
	for name, view := range map[string]*pb.View{
		"loads":          {Servers: repeated(25_000, &pb.ServerLoad{})},
		"withdrawals":    {Withdrawn: repeated(25_000, &pb.Withdrawal{})},
		"suspects":       {Suspects: repeated(25_000, &pb.Suspect{})},
		"usual loads":    {Servers: repeated(3_500, &pb.ServerLoad{Server: 1 << 60, Running: 1, PendingTokens: 1})},
		"quarters":       {Accounts: []*pb.AccountUse{{Quarters: make([]uint64, 60_000)}}},
		"long name":      {Withdrawn: []*pb.Withdrawal{{Server: long}}},
		"unknown fields": unknown,
	} {
		t.Run(name, func(t *testing.T) {
			datagrams := 300
			if len(view.Servers)+len(view.Suspects)+len(view.Withdrawn) <= 1 {
				datagrams = 3000
			}
			a := newNode(t, "a", "z1")
			t.Cleanup(func() {
				assert.NoError(t, a.conn.Close())
				assert.NoError(t, a.listener.Close())
			})
			a.options.OnView = func(string, *pb.Member, *pb.View, time.Duration) {}
			growth := peakHeapGrowth(func() {
				for i := range datagrams {
					if i%50 == 0 {
						runtime.GC() // a daemon's memory limit bounds what is not collected yet
					}
					data, err := proto.Marshal(&pb.Datagram{State: &pb.State{Member: &pb.Member{Id: fmt.Sprint("m", i), Zone: "z1"}, View: view}})
					require.NoError(t, err)
					a.handleDatagram(data, time.Now())
				}
			})
			t.Logf("%d MB", growth>>20)
			assert.Less(t, growth, uint64(maxGrowth))
		})
	}
}

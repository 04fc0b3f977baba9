package peer

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcconn"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// repeated returns a list of n times the message.
func repeated[T any](n int, message *T) []*T {
	list := make([]*T, n)
	for i := range list {
		list[i] = message
	}
	return list
}

// peakGrowth returns by how many bytes the heap grows at most while run runs.
func peakGrowth(run func()) uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	before, peak, done := stats.HeapAlloc, stats.HeapAlloc, make(chan struct{})
	var measuring sync.WaitGroup
	measuring.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapAlloc)
			}
		}
	})
	run()
	close(done)
	measuring.Wait()
	return peak - before
}

// openSession opens a session to the mesh at the address, like a link does.
func openSession(t *testing.T, address string) pb.DRPCMesh_SessionClient {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	require.NoError(t, err)
	conn := drpcconn.New(socket)
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := pb.NewDRPCMeshClient(conn).Session(withToken(context.Background(), testSecret, "a"))
	require.NoError(t, err)
	return stream
}

// Guards against a daemon that ends for its memory, because messages of faulty peers hold millions of empty entries.
func TestMessagesOfManyEntriesStayWithinMemory(t *testing.T) {
	const maxGrowth = 64 << 20
	n := 1_900_000 // 3.8 MB on the wire, of the 4 MiB that a message may have
	for name, env := range map[string]*pb.Envelope{
		"demands":       {Body: &pb.Envelope_DemandReport{DemandReport: &pb.DemandReport{Demands: repeated(n, &pb.Demand{})}}},
		"preferred":     {Body: &pb.Envelope_DemandReport{DemandReport: &pb.DemandReport{Demands: []*pb.Demand{{Prefer: make([]string, n)}}}}},
		"released":      {Body: &pb.Envelope_DemandReport{DemandReport: &pb.DemandReport{Released: make([]uint64, 2*n)}}},
		"grants":        {Body: &pb.Envelope_GrantBatch{GrantBatch: &pb.GrantBatch{Grants: repeated(n, &pb.Grant{})}}},
		"records":       {Body: &pb.Envelope_ConfigRecords{ConfigRecords: &pb.ConfigRecords{Records: repeated(n, &pb.ConfigRecord{})}}},
		"zone reports":  {Body: &pb.Envelope_ZoneReports{ZoneReports: &pb.ZoneReports{Reports: repeated(n, &pb.ZoneReport{})}}},
		"suspects":      {Body: &pb.Envelope_SuspectReports{SuspectReports: &pb.SuspectReports{Suspects: make([][]byte, n)}}},
		"usual records": {Body: &pb.Envelope_ConfigRecords{ConfigRecords: &pb.ConfigRecords{Records: repeated(7, &pb.ConfigRecord{Value: make([]byte, 500<<10)})}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, address, received := startMesh(t, Options{ID: "b"})
			stream := openSession(t, address)
			growth := peakGrowth(func() {
				_ = stream.Send(env) // an error means that the daemon has closed the connection
				_ = stream.Send(&pb.Envelope{Body: &pb.Envelope_Ping{Ping: &pb.Ping{Seq: 1}}})
				_, _ = stream.Recv() // the answer to the ping, or the end of the connection
			})
			t.Logf("%d MB, %d messages received", growth>>20, received.Load())
			assert.Less(t, growth, uint64(maxGrowth))
		})
	}
}

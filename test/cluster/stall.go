package cluster

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// stallToxicType is the registered type name of StallToxic.
const stallToxicType = "stall"

func init() { toxics.Register(stallToxicType, new(StallToxic)) }

// StallToxic simulates packet loss on a TCP connection: each chunk is, with the given
// probability, delayed by a retransmission timeout, and with it all data behind it.
type StallToxic struct {
	Probability float64 `json:"probability"`
	Delay       int64   `json:"delay"` // milliseconds
}

// Pipe implements toxics.Toxic.
func (t *StallToxic) Pipe(stub *toxics.ToxicStub) {
	pipeChunks(stub, func([]byte) {
		if rand.Float64() < t.Probability {
			time.Sleep(time.Duration(t.Delay) * time.Millisecond)
		}
	})
}

// pipeChunks calls onChunk for each chunk and then passes the chunk on.
func pipeChunks(stub *toxics.ToxicStub, onChunk func(data []byte)) {
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			onChunk(chunk.Data)
			stub.Output <- chunk
		}
	}
}

// SimulatePacketLoss delays each chunk by stallMS milliseconds, the retransmission timeout, with
// the given probability in each direction.
func (l *Link) SimulatePacketLoss(probability float64, stallMS int) error {
	attributes := fmt.Sprintf(`{"probability":%g,"delay":%d}`, probability, stallMS)
	return l.addToxicBothDirections(stallToxicType, attributes)
}

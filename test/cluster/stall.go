package cluster

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// stallKind is the name of StallToxic in specifications.
const stallToxicType = "stall"

func init() { toxics.Register(stallToxicType, new(StallToxic)) }

// StallToxic holds up a connection for a retransmission timeout with a probability for
// each chunk: over TCP a lost packet delays everything behind it.
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

// pipe passes the chunks of a toxic on, after a call of before for each.
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

// Lossy adds stalls of a retransmission timeout, in milliseconds, in each direction.
func (l *Link) SimulatePacketLoss(probability float64, stallMS int) error {
	attributes := fmt.Sprintf(`{"probability":%g,"delay":%d}`, probability, stallMS)
	return l.addToxicBothWays(stallToxicType, attributes)
}

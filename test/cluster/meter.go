package cluster

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// meterKind is the name of MeterToxic in specifications.
const meterToxicType = "meter"

func init() { toxics.Register(meterToxicType, new(MeterToxic)) }

// Meter counts the bytes that pass the links it is set on, both ways.
type Meter struct {
	id    int64
	bytes atomic.Int64
}

var meters struct {
	mu  sync.Mutex
	all map[int64]*Meter
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter {
	meters.mu.Lock()
	defer meters.mu.Unlock()
	if meters.all == nil {
		meters.all = map[int64]*Meter{}
	}
	m := &Meter{id: int64(len(meters.all))}
	meters.all[m.id] = m
	return m
}

// Bytes returns the count so far.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }

// Count sets the meter on the link.
func (l *Link) AddMeter(m *Meter) error {
	return l.addToxicBothWays(meterToxicType, fmt.Sprintf(`{"meter":%d}`, m.id))
}

// MeterToxic adds the length of each chunk to a meter. Toxics are set up from JSON, so it
// names its meter by number.
type MeterToxic struct {
	Meter int64 `json:"meter"`
}

// Pipe implements toxics.Toxic.
func (t *MeterToxic) Pipe(stub *toxics.ToxicStub) {
	meters.mu.Lock()
	meter := meters.all[t.Meter]
	meters.mu.Unlock()
	pipeChunks(stub, func(data []byte) { meter.bytes.Add(int64(len(data))) })
}

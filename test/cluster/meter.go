package cluster

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// meterToxicType is the registered type name of MeterToxic.
const meterToxicType = "meter"

func init() { toxics.Register(meterToxicType, new(MeterToxic)) }

// Meter counts the bytes that pass through the links it is added to, in both directions.
type Meter struct {
	id    int64
	bytes atomic.Int64
}

var meters struct {
	mu  sync.Mutex
	all map[int64]*Meter
}

// NewMeter returns a meter that starts at zero.
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

// Bytes returns the number of bytes counted so far.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }

// AddMeter adds the meter to the link.
func (l *Link) AddMeter(m *Meter) error {
	return l.addToxicBothDirections(meterToxicType, fmt.Sprintf(`{"meter":%d}`, m.id))
}

// MeterToxic adds the length of each chunk to a meter. It refers to the meter by id because
// toxics are configured with JSON.
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

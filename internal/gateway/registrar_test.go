package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

func TestRegistrarFirstDaemonOfZoneRegisters(t *testing.T) {
	member := func(id, zone string) *pb.Member { return &pb.Member{Id: id, Zone: zone, ControlAddress: id} }
	a1, a2, a3, a4, b1 := member("a1", "a"), member("a2", "a"), member("a3", "a"), member("a4", "a"), member("b1", "b")
	now := time.Unix(1000, 0)
	var r registrar
	register, read := r.plan(a1, []*pb.Member{a2, a3, a4, b1}, now)
	assert.Equal(t, []string{"a1", "a2", "a3"}, register)
	assert.False(t, read)
	r.registered, r.registeredAt = register, now
	register, _ = r.plan(a1, []*pb.Member{a3, a4, b1}, now.Add(registrarInterval))
	assert.Nil(t, register, "not before minRegisterInterval has passed")
	register, _ = r.plan(a1, []*pb.Member{a3, a4, b1}, now.Add(minRegisterInterval))
	assert.Equal(t, []string{"a1", "a3", "a4"}, register)

	r.registered, r.registeredIn, r.era = register, 3, 3
	register, _ = r.plan(a1, []*pb.Member{a3, a4, b1}, now.Add(2*minRegisterInterval))
	assert.Nil(t, register, "unchanged")
	r.era = 4
	register, _ = r.plan(a1, []*pb.Member{a3, a4, b1}, now.Add(2*minRegisterInterval))
	assert.NotNil(t, register, "the store was restored and may have lost the registration")

	var second registrar
	register, _ = second.plan(a2, []*pb.Member{a1, b1}, now)
	assert.Nil(t, register, "the daemon with the lowest ID registers")
	a1.Draining = true
	register, _ = second.plan(a2, []*pb.Member{a1, b1}, now)
	assert.Equal(t, []string{"a2"}, register)
}

func TestRegistrarBacksOffWithoutPeers(t *testing.T) {
	self := &pb.Member{Id: "a1", Zone: "a", ControlAddress: "a1"}
	var r registrar
	reads := 0
	start := time.Unix(1000, 0)
	for at := start; at.Before(start.Add(5 * time.Minute)); at = at.Add(registrarInterval) {
		if _, read := r.plan(self, nil, at); read {
			reads++
			r.readAt, r.readCount = at, r.readCount+1
		}
	}
	assert.InDelta(t, 13, reads, 1)
	_, read := r.plan(self, []*pb.Member{{Id: "b1", Zone: "b"}}, start.Add(6*time.Minute))
	assert.False(t, read)
}

type fakeRegistry struct {
	addresses []string
	err       error
}

func (f fakeRegistry) Register(context.Context, string, []string) error { return f.err }
func (f fakeRegistry) Registered(context.Context) ([]string, error)     { return f.addresses, f.err }
func (f fakeRegistry) Era() uint64                                      { return 0 }

// Guards against a daemon that takes itself for alone because the store does not answer.
func TestRegistrarReportsOnlyWhatItHasRead(t *testing.T) {
	for _, test := range []struct {
		name     string
		registry fakeRegistry
		reported bool
	}{
		{"addresses", fakeRegistry{[]string{"a"}, nil}, true},
		{"none registered", fakeRegistry{nil, nil}, true},
		{"one record is malformed", fakeRegistry{[]string{"a"}, errors.New("malformed")}, true},
		{"no answer", fakeRegistry{nil, errors.New("no answer")}, false},
	} {
		var added []string
		reported := false
		r := registrar{
			registry: test.registry, logger: slog.New(slog.DiscardHandler),
			addPeer: func(address string) { added = append(added, address) },
			onRead: func() {
				reported = true
				assert.Equal(t, test.registry.addresses, added, "%s: reported after they were added", test.name)
			},
		}
		r.execute(t.Context(), nil, true, time.Now())
		assert.Equal(t, test.reported, reported, test.name)
	}
}

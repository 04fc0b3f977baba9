package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// sim is a log, and senders of one server that may stop for any time between two steps.
type sim struct {
	now     time.Duration
	log     [][]byte
	senders []*simSender
	sends   []send
}

type send struct {
	sender Sender
	fence  uint64
	at     time.Duration
}

type simSender struct {
	self     Sender
	registry *Registry
	progress Progress
	fence    uint64 // of the order that its configuration calls for
	phase    int
	readAt   time.Duration
	until    time.Time
}

func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// advance takes a sender one step further: begin a read, end it and decide, append or
// send. Time may pass between any two.
func (s *sim) advance(t *rapid.T, x *simSender) {
	o := Order{Server: "e", Kind: Load, Fence: x.fence}
	switch x.phase {
	case 0:
		x.readAt = s.now
		x.phase = 1
	case 1:
		for offset := x.registry.NextOffset(); offset < int64(len(s.log)); offset++ {
			x.registry.Apply(offset, s.log[offset])
		}
		x.phase = 2
	case 2:
		step, until := x.registry.Decide(at(s.now), at(x.readAt), x.self, o, &x.progress)
		x.phase = 0
		switch step {
		case StepClaim:
			x.phase = 3
		case StepSend:
			x.until = until
			x.phase = 4
		}
	case 3:
		s.append(t, Record{Kind: RecordClaim, Server: "e", Fence: x.fence, Sender: x.self})
		x.phase = 0
	case 4:
		x.phase = 0
		if at(s.now).Before(x.until) {
			s.sends = append(s.sends, send{sender: x.self, fence: x.fence, at: s.now})
			x.phase = 5
		}
	case 5:
		s.append(t, Record{Kind: RecordDone, Server: "e", Fence: x.fence, Sender: x.self})
		x.phase = 0
	}
}

// append may have to be repeated when its answer was lost.
func (s *sim) append(t *rapid.T, r Record) {
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		s.log = append(s.log, r.Encode())
	}
}

func TestTwoSendersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sim{}
		for i := range 3 {
			self := Sender{ID: fmt.Sprint(i), Incarnation: 1}
			s.senders = append(s.senders, &simSender{self: self, registry: NewRegistry(), fence: 1})
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			s.now += time.Duration(rapid.SampledFrom([]int{0, 1, 100, 1000, 6000}).Draw(t, "ms")) * time.Millisecond
			x := rapid.SampledFrom(s.senders).Draw(t, "sender")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				x.fence++ // a ticket changed the server
			case 1:
				*x = simSender{ // restarted, with nothing but the log
					self:     Sender{ID: x.self.ID, Incarnation: x.self.Incarnation + 1},
					registry: NewRegistry(), fence: x.fence,
				}
			default:
				s.advance(t, x)
			}
		}
		s.check(t)
	})
}

// check fails when a sender sends again after another has sent, without a claim between:
// each change of the sender, seen at the server, is final, and fences never go back.
func (s *sim) check(t *rapid.T) {
	ended := map[Sender]uint64{} // highest fence with which a replaced sender sent
	for i := 1; i < len(s.sends); i++ {
		before, after := s.sends[i-1], s.sends[i]
		require.GreaterOrEqual(t, after.fence, before.fence, "an older order after a newer one: %v", s.sends)
		if before.sender != after.sender {
			ended[before.sender] = before.fence
		}
		if fence, was := ended[after.sender]; was && before.sender != after.sender {
			require.Greater(t, after.fence, fence, "a replaced sender came back: %v", s.sends)
		}
	}
}

func TestAnOrderIsSentAfterItsSenderDied(t *testing.T) {
	s := &sim{}
	dead := Record{Kind: RecordClaim, Server: "e", Fence: 7, Sender: Sender{ID: "dead", Incarnation: 1}}
	s.log = append(s.log, dead.Encode())
	self := Sender{ID: "b", Incarnation: 1}
	registry, progress := NewRegistry(), Progress{}
	o := Order{Server: "e", Fence: 7}
	registry.Apply(0, s.log[0])
	step, _ := registry.Decide(at(0), at(0), self, o, &progress)
	require.Equal(t, StepClaim, step)
	registry.Apply(1, Record{Kind: RecordClaim, Server: "e", Fence: 7, Sender: self}.Encode())
	step, _ = registry.Decide(at(0), at(0), self, o, &progress)
	require.Equal(t, StepWait, step)
	step, _ = registry.Decide(at(Lease+LeaseMargin), at(0), self, o, &progress)
	require.Equal(t, StepWait, step)
	later := Lease + LeaseMargin + time.Millisecond
	step, until := registry.Decide(at(later), at(later), self, o, &progress)
	require.Equal(t, StepSend, step)
	require.Equal(t, at(later+Lease), until)
	registry.Apply(2, Record{Kind: RecordDone, Server: "e", Fence: 7, Sender: self}.Encode())
	step, _ = registry.Decide(at(later), at(later), Sender{ID: "c"}, o, &Progress{})
	require.Equal(t, StepSettled, step)
}

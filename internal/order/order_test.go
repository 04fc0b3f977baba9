package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulation runs a log and several senders of one server, which may pause for any time between
// two steps.
type simulation struct {
	now     time.Duration
	log     [][]byte
	senders []*simSender
	sends   []sentOrder
}

type sentOrder struct {
	sender Sender
	fence  uint64
	sentAt time.Duration
}

type simSender struct {
	self     Sender
	registry *Registry
	progress Progress
	fence    uint64 // of the order in the sender's configuration
	phase    int
	readAt   time.Duration
	leaseEnd time.Time
}

func timeAt(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// advance performs the next phase of a sender: start a read (0), complete it (1), decide (2),
// append a claim (3), send (4) or append the end of the claim (5). Time may pass between any two.
func (s *simulation) advance(t *rapid.T, sender *simSender) {
	o := Order{Server: "e", Kind: Load, Fence: sender.fence}
	switch sender.phase {
	case 0:
		sender.readAt = s.now
		sender.phase = 1
	case 1:
		for offset := sender.registry.NextOffset(); offset < int64(len(s.log)); offset++ {
			sender.registry.Apply(offset, s.log[offset])
		}
		sender.phase = 2
	case 2:
		step, leaseEnd := sender.registry.Decide(timeAt(s.now), timeAt(sender.readAt), sender.self, o, &sender.progress)
		sender.phase = 0
		switch step {
		case StepClaim:
			sender.phase = 3
		case StepSend:
			sender.leaseEnd = leaseEnd
			sender.phase = 4
		}
	case 3:
		s.append(t, Record{Kind: RecordClaim, Server: "e", Fence: sender.fence, Sender: sender.self})
		sender.phase = 0
	case 4:
		sender.phase = 0
		if timeAt(s.now).Before(sender.leaseEnd) {
			s.sends = append(s.sends, sentOrder{sender: sender.self, fence: sender.fence, sentAt: s.now})
			sender.phase = 5
		}
	case 5:
		s.append(t, Record{Kind: RecordDone, Server: "e", Fence: sender.fence, Sender: sender.self})
		sender.phase = 0
	}
}

// append appends a record once, or twice as after a lost response.
func (s *simulation) append(t *rapid.T, r Record) {
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		s.log = append(s.log, r.Encode())
	}
}

func TestTwoSendersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{}
		for i := range 3 {
			self := Sender{ID: fmt.Sprint(i), Incarnation: 1}
			s.senders = append(s.senders, &simSender{self: self, registry: NewRegistry(), fence: 1})
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			s.now += time.Duration(rapid.SampledFrom([]int{0, 1, 100, 1000, 6000}).Draw(t, "ms")) * time.Millisecond
			sender := rapid.SampledFrom(s.senders).Draw(t, "sender")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				sender.fence++ // a ticket changed the server's state
			case 1:
				*sender = simSender{ // restart: the registry and the progress are lost
					self:     Sender{ID: sender.self.ID, Incarnation: sender.self.Incarnation + 1},
					registry: NewRegistry(), fence: sender.fence,
				}
			default:
				s.advance(t, sender)
			}
		}
		s.checkSends(t)
	})
}

// checkSends requires that the fences of the orders that reach the server never decrease, and
// that a sender sends no order with the same fence again after another sender has sent.
func (s *simulation) checkSends(t *rapid.T) {
	replaced := map[Sender]uint64{} // highest fence with which a replaced sender sent
	for i := 1; i < len(s.sends); i++ {
		before, after := s.sends[i-1], s.sends[i]
		require.GreaterOrEqual(t, after.fence, before.fence, "older order sent after a newer one: %v", s.sends)
		if before.sender != after.sender {
			replaced[before.sender] = before.fence
		}
		if fence, ok := replaced[after.sender]; ok && before.sender != after.sender {
			require.Greater(t, after.fence, fence, "replaced sender sent again: %v", s.sends)
		}
	}
}

func TestOrderIsSentAfterSenderDied(t *testing.T) {
	s := &simulation{}
	dead := Record{Kind: RecordClaim, Server: "e", Fence: 7, Sender: Sender{ID: "dead", Incarnation: 1}}
	s.log = append(s.log, dead.Encode())
	self := Sender{ID: "b", Incarnation: 1}
	registry, progress := NewRegistry(), Progress{}
	o := Order{Server: "e", Fence: 7}
	registry.Apply(0, s.log[0])
	step, _ := registry.Decide(timeAt(0), timeAt(0), self, o, &progress)
	require.Equal(t, StepClaim, step)
	registry.Apply(1, Record{Kind: RecordClaim, Server: "e", Fence: 7, Sender: self}.Encode())
	step, _ = registry.Decide(timeAt(0), timeAt(0), self, o, &progress)
	require.Equal(t, StepWait, step)
	step, _ = registry.Decide(timeAt(Lease+LeaseMargin), timeAt(0), self, o, &progress)
	require.Equal(t, StepWait, step)
	later := Lease + LeaseMargin + time.Millisecond
	step, leaseEnd := registry.Decide(timeAt(later), timeAt(later), self, o, &progress)
	require.Equal(t, StepSend, step)
	require.Equal(t, timeAt(later+Lease), leaseEnd)
	registry.Apply(2, Record{Kind: RecordDone, Server: "e", Fence: 7, Sender: self}.Encode())
	step, _ = registry.Decide(timeAt(later), timeAt(later), Sender{ID: "c"}, o, &Progress{})
	require.Equal(t, StepSettled, step)
}

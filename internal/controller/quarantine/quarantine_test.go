package quarantine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
	core "github.com/filbertrill/filbertrill/internal/quarantine"
	"github.com/filbertrill/filbertrill/internal/result"
)

// fleet delivers messages between controllers at once.
type fleet struct {
	members     []*pb.Member
	controllers map[string]*Controller // by address
}

func (f *fleet) Live(time.Time) []*pb.Member { return f.members }

func (f *fleet) Send(address string, env *pb.Envelope) {
	f.controllers[address].HandleReports("peer", env.GetSuspectReports())
}

func (f *fleet) SetQuarantined(string, string, bool) {}

func (f *fleet) start(id string) *Controller {
	f.members = append(f.members, &pb.Member{Id: id, PeerAddress: id})
	c := NewController(Options{SelfID: id, Members: f, Sender: f, Metrics: f, Logger: slog.New(slog.DiscardHandler)})
	f.controllers[id] = c
	return c
}

func TestEvidenceOfAllDaemonsIsSharedWithThoseThatStartLater(t *testing.T) {
	f := &fleet{controllers: map[string]*Controller{}}
	subjects := core.Parts([]uint64{7})
	for i := range 3 {
		f.start(fmt.Sprint("d", i)).RecordEnd(subjects, fmt.Sprint("server", i), true)
	}
	now := time.Now()
	for _, c := range f.controllers {
		c.tick(now)
	}
	isHeld := func(c *Controller) bool {
		_, err := c.Check(subjects)
		return result.CodeOf(err) == result.PromptQuarantined
	}
	for id, c := range f.controllers {
		assert.True(t, isHeld(c), id)
	}
	late := f.start("late")
	for _, c := range f.controllers {
		c.tick(now.Add(5 * time.Second)) // what was observed is no longer sent
	}
	assert.True(t, isHeld(late))
	late.RecordSound(subjects, "server9", time.Now())
	late.tick(time.Now())
	for id, c := range f.controllers {
		assert.False(t, isHeld(c), id)
	}
}

func TestServerThatKeepsItsIDEndsAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Equal(t, serverIdentity("a", now), serverIdentity("a", now.Add(endPeriod-1)))
	assert.NotEqual(t, serverIdentity("a", now), serverIdentity("a", now.Add(endPeriod)))
}

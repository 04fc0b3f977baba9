package members_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/controller/members"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// lostList is an instance list that can be read once.
type lostList struct {
	instances []logservice.Instance
	reads     int
}

func (l *lostList) Instances(context.Context) ([]logservice.Instance, error) {
	if l.reads++; l.reads > 1 {
		return nil, errors.New("no route to host")
	}
	return l.instances, nil
}

// Guards against a daemon that is cut off from everything and takes itself for the majority, as a list from before the others started
// lacks them.
func TestMembersThatAnOldListLacksCountTowardsTheMajority(t *testing.T) {
	self := &pb.Member{Id: "a", PeerAddress: "127.0.0.1:1", State: pb.MemberState_MEMBER_STATE_LIVE}
	c := members.NewController(members.Options{
		Self: self, InstanceList: &lostList{instances: []logservice.Instance{{PeerAddress: self.PeerAddress}}}, Logger: slog.New(slog.DiscardHandler),
	})
	now := time.Now()
	view := []member.Status{{Member: self, LastSeen: now}}
	for id, address := range map[string]string{"b": "127.0.0.1:2", "c": "127.0.0.1:3"} {
		view = append(view, member.Status{
			Member: &pb.Member{Id: id, PeerAddress: address, State: pb.MemberState_MEMBER_STATE_LIVE}, LastSeen: now,
		})
	}
	roster := configsync.NewRoster("a")
	update := func(now time.Time) {
		c.RefreshList(t.Context())
		addresses, asOf := c.Listed()
		view[0].LastSeen = now
		roster.Update(now, view, configsync.InstanceListing{AsOf: asOf, Addresses: addresses})
	}
	update(now)
	assert.Equal(t, 2, roster.Majority())
	for silence := range 120 {
		update(now.Add(time.Duration(silence) * time.Second))
	}
	assert.Equal(t, 2, roster.Majority(), "one of three daemons, cut off for two minutes")
}

package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// An unexpected error with one message must not end the process, whether it came by datagram or as a call.
func TestPanicWithOneMessageDoesNotEndTheProcess(t *testing.T) {
	a, b := newNode(t, "a", "z1"), newNode(t, "b", "z1")
	onView, panicked := a.options.OnView, make(chan struct{}, 1)
	a.options.OnView = func(from string, source *pb.Member, v *pb.View, age time.Duration) {
		if v.ConfigVersion == 666 {
			panicked <- struct{}{}
			panic("unexpected view")
		}
		onView(from, source, v, age)
	}
	a.options.Records = func(*pb.PullRequest) *pb.Records { panic("unexpected call") }
	data, err := proto.Marshal(&pb.Datagram{State: &pb.State{
		Member: &pb.Member{Id: "bad", Zone: "z1", ControlAddress: "127.0.0.1:9"}, View: &pb.View{ConfigVersion: 666},
	}})
	require.NoError(t, err)
	a.start(t)
	_, err = b.conn.WriteToUDP(data, a.addressOf(t))
	require.NoError(t, err)
	<-panicked
	_, err = b.PullRecords(context.Background(), a.member.ControlAddress, &pb.PullRequest{})
	assert.Error(t, err)
	b.AddAddress(a.member.ControlAddress, "")
	b.start(t)
	requireSoon(t, []*node{a, b}, 5*time.Second, "the next datagrams are handled", func() bool { return a.demandFrom("b") == 10 })
}

// A control address that is a name would be looked up while all other datagrams wait.
func TestNamesInMessagesAreNotResolved(t *testing.T) {
	a := newNode(t, "a", "z1")
	t.Cleanup(func() {
		require.NoError(t, a.conn.Close())
		require.NoError(t, a.listener.Close())
	})
	a.handleState(&pb.State{
		Member: &pb.Member{Id: "b", Zone: "z1", ControlAddress: "localhost:9"}, View: &pb.View{},
		Members: []*pb.Member{{Id: "c", ControlAddress: "localhost:10"}, {Id: "d", ControlAddress: "127.0.0.1:11"}},
	}, time.Now())
	assert.Len(t, a.addresses, 1)
	assert.Contains(t, a.addresses, "127.0.0.1:11")
}

func FuzzDatagram(f *testing.F) {
	seed, err := proto.Marshal(&pb.Datagram{State: &pb.State{
		Member: &pb.Member{Id: "b", Zone: "z1", ControlAddress: "127.0.0.1:9"}, View: &pb.View{},
		Zones: []*pb.Zone{{Zone: "z2", Delegate: &pb.Member{Id: "c", ControlAddress: "127.0.0.1:10"}, View: &pb.View{}}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &pb.Datagram{}
		if proto.Unmarshal(data, d) != nil || d.State == nil || d.State.Member == nil || d.State.View == nil {
			return
		}
		x := &Exchange{
			options: Options{
				Self: func() *pb.Member { return &pb.Member{Id: "a", Zone: "z1"} }, Logger: discardLogger(),
				View: func(time.Duration) *pb.View { return &pb.View{} }, OnView: func(string, *pb.Member, *pb.View, time.Duration) {},
			},
			peers: map[string]*peer{}, zones: map[string]*zone{}, addresses: map[string]*address{},
		}
		x.handleState(d.State, time.Now())
		x.Members()
		x.summarizeZone(x.options.Self(), &pb.View{}, time.Now())
		x.expire(time.Now())
	})
}

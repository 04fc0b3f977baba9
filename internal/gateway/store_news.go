package gateway

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/topology"
)

const (
	// storeNewsCopies is how often news of the store are sent, and storeNewsInterval the time in between. Views repeat them.
	storeNewsCopies   = 2
	storeNewsInterval = 100 * time.Millisecond
	// returnAdvertiseTTL is how long views name the return of the store: longer than servers take to register again.
	returnAdvertiseTTL = 5 * time.Second
)

// readsStoreFirst reports whether this daemon reads the store for its zone when the store returns from an outage. No daemon is known
// to reach it then, so that it does not count who does. It implements topology.ReaderOptions.ReadsFirst.
func (g *Gateway) readsStoreFirst() bool { return isFirstReader(g.member(), g.exchange.Members()) }

// isFirstReader is isStoreReader without regard to which daemons reach the store.
func isFirstReader(self *pb.Member, peers []*pb.Member) bool {
	all := make([]*pb.Member, len(peers))
	for i, m := range peers {
		all[i] = &pb.Member{Id: m.Id, Zone: m.Zone, Draining: m.Draining}
	}
	return isStoreReader(self, all)
}

// tellReturn tells all daemons that a call was answered at the given time, the first after an outage of the store.
func (g *Gateway) tellReturn(at time.Time) {
	g.tellStoreNews(func(now time.Time) *pb.StoreNews {
		age := ageMillis(now.Sub(at))
		return &pb.StoreNews{ReturnAgeMs: &age}
	})
}

// tellGone tells all daemons which servers have left.
func (g *Gateway) tellGone(withdrawn []topology.Withdrawal) {
	g.tellStoreNews(func(now time.Time) *pb.StoreNews { return &pb.StoreNews{Withdrawn: withdrawalMessages(withdrawn, now)} })
}

func (g *Gateway) tellStoreNews(news func(now time.Time) *pb.StoreNews) {
	go func() {
		for range storeNewsCopies {
			g.exchange.SendStoreNews(news(time.Now()))
			time.Sleep(storeNewsInterval)
		}
	}()
}

// receiveStoreNews applies what a peer has learned from the store. It implements exchange.Options.OnStoreNews.
func (g *Gateway) receiveStoreNews(n *pb.StoreNews) {
	now := time.Now()
	g.receiveReturn(n.ReturnAgeMs, now)
	g.receiveWithdrawals("", n.Withdrawn, now)
}

// receiveReturn applies the age of the return of the store that a peer has reported, nil for none.
func (g *Gateway) receiveReturn(age *uint32, now time.Time) {
	if age != nil {
		g.reader.HearReturn(now.Add(-time.Duration(*age)*time.Millisecond), now)
	}
}

// receiveWithdrawals applies the withdrawals that a peer has reported.
func (g *Gateway) receiveWithdrawals(from string, withdrawn []*pb.Withdrawal, now time.Time) {
	for _, w := range withdrawn {
		age := time.Duration(w.AgeMs) * time.Millisecond
		if g.topology.Withdraw(topology.Withdrawal{ID: w.Server, Incarnation: w.Born, Sequence: w.Sequence, FirstSeen: now.Add(-age)}) {
			g.logger.Info("Server withdrawn by a peer.", "server", w.Server, "peer", from, "age", age)
		}
	}
}

// withdrawalMessages returns the withdrawals as they are sent to peers.
func withdrawalMessages(withdrawn []topology.Withdrawal, now time.Time) (out []*pb.Withdrawal) {
	for _, w := range withdrawn {
		out = append(out, &pb.Withdrawal{Server: w.ID, Born: w.Incarnation, Sequence: w.Sequence, AgeMs: ageMillis(now.Sub(w.FirstSeen))})
	}
	return out
}

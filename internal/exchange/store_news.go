package exchange

import "github.com/filbertrill/filbertrill/internal/exchange/pb"

// maxNewsWithdrawals is the number of withdrawals in one datagram, some 60 bytes each: it is not to be fragmented.
const maxNewsWithdrawals = 16

// SendStoreNews sends the news to all known daemons of all zones, in datagrams that may be lost.
func (x *Exchange) SendStoreNews(n *pb.StoreNews) {
	x.mu.Lock()
	targets := make([]address, 0, len(x.addresses))
	for _, a := range x.addresses {
		targets = append(targets, *a)
	}
	x.mu.Unlock()
	for rest := n.Withdrawn; ; {
		part := rest[:min(len(rest), maxNewsWithdrawals)]
		rest = rest[len(part):]
		x.sendDatagram(&pb.Datagram{StoreNews: &pb.StoreNews{ReturnAgeMs: n.ReturnAgeMs, Withdrawn: part}}, targets)
		if len(rest) == 0 {
			return
		}
	}
}

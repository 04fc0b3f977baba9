package exchange

import (
	"net"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// SendOrigins sends the message to the daemons with the control addresses, in one datagram each that may be lost. It sets
// the sender.
func (x *Exchange) SendOrigins(o *pb.Origins, controlAddresses ...string) {
	o.From = x.options.ControlAddress
	var targets []*net.UDPAddr
	x.mu.Lock()
	for _, controlAddress := range controlAddresses {
		if a := x.addAddress(controlAddress, ""); a != nil {
			targets = append(targets, a.udp)
		}
	}
	x.mu.Unlock()
	x.sendDatagram(&pb.Datagram{Origins: o}, targets)
}

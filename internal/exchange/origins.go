package exchange

import (
	"net"
	"net/netip"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// SendOrigins sends the message to the daemons with the control addresses, in one datagram each that may be lost. It sets
// the sender.
func (x *Exchange) SendOrigins(o *pb.Origins, controlAddresses ...string) {
	o.From = x.options.ControlAddress
	// The addresses are not added to those that states are sent to: most are of other zones.
	targets := make([]address, 0, len(controlAddresses))
	for _, controlAddress := range controlAddresses {
		parsed, err := netip.ParseAddrPort(controlAddress)
		if err != nil {
			x.options.Logger.Warn("Invalid control address of a daemon.", "address", controlAddress, "error", err)
			continue
		}
		targets = append(targets, address{udp: net.UDPAddrFromAddrPort(parsed), zone: x.zoneOf(controlAddress)})
	}
	x.sendDatagram(&pb.Datagram{Origins: o}, targets)
}

package ctl

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

func fetchSnapshot(s *session) (ticket.Snapshot, error) {
	var snapshot ticket.Snapshot
	reply, err := query(s, func(ctx context.Context, client pb.DRPCOperatorClient) (*pb.ConfigReply, error) {
		return client.Config(ctx, &pb.ConfigRequest{})
	})
	if err != nil {
		return snapshot, err
	}
	if err := json.Unmarshal(reply.GetSnapshot(), &snapshot); err != nil {
		return snapshot, errors.Wrap(err, "decode the configuration snapshot")
	}
	return snapshot, nil
}

// accountsCommand lists the client accounts.
type accountsCommand struct{}

// Run lists the accounts, including removed ones, with the ticket that last changed each.
func (*accountsCommand) Run(s *session) error {
	snapshot, err := fetchSnapshot(s)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, account := range snapshot.Accounts {
		a := account.Value
		rows = append(rows, []string{
			a.ID,
			string(a.Presence),
			strconv.FormatFloat(a.Weight, 'g', -1, 64),
			strconv.Itoa(len(a.KeyHashes)),
			strconv.Itoa(a.MaxQueued),
			strconv.FormatInt(a.MaxQueuedBytes, 10),
			strconv.Itoa(a.MaxInFlight),
			strconv.FormatUint(account.Number, 10),
		})
	}
	header := []string{"ACCOUNT", "PRESENCE", "WEIGHT", "KEYS", "MAX QUEUED", "MAX QUEUED BYTES", "MAX IN FLIGHT", "TICKET"}
	return s.print(emptyIfNil(snapshot.Accounts), header, rows)
}

// serversCommand lists the backend servers.
type serversCommand struct{}

// Run lists the backend servers, including removed ones, with the ticket that last changed
// each.
func (*serversCommand) Run(s *session) error {
	snapshot, err := fetchSnapshot(s)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, server := range snapshot.Servers {
		v := server.Value
		rows = append(rows, []string{
			v.ID,
			v.Service,
			v.Address,
			v.Zone,
			strconv.Itoa(v.Slots),
			strconv.FormatBool(v.ChecksOrders),
			string(v.State),
			strconv.FormatUint(server.Number, 10),
		})
	}
	header := []string{"SERVER", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "CHECKS ORDERS", "STATE", "TICKET"}
	return s.print(emptyIfNil(snapshot.Servers), header, rows)
}

// emptyIfNil returns an empty slice for nil, so that JSON output has [] instead of null.
func emptyIfNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

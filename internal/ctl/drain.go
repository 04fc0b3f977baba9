package ctl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// drainCommand asks a member to finish its requests and leave the fleet.
type drainCommand struct {
	Member string `arg:"" help:"ID of the member."`
}

// drainResult is the output of a drain.
type drainResult struct {
	Member string `json:"member"`
	State  string `json:"state"`
}

// Run requests the drain and prints the member's resulting state. It fails with ExitPending
// while the member is not yet draining.
func (c *drainCommand) Run(s *session) error {
	reply, _, err := call(s, func(ctx context.Context, client pb.DRPCOperatorClient) (*pb.DrainReply, error) {
		return client.Drain(ctx, &pb.DrainRequest{Member: c.Member})
	})
	if err != nil {
		return changeError("drain", err)
	}
	result := drainResult{Member: reply.GetMember(), State: memberState(reply.GetState())}
	if err := s.print(result, []string{"MEMBER", "STATE"}, [][]string{{result.Member, result.State}}); err != nil {
		return err
	}
	switch reply.GetState() {
	case pb.MemberState_MEMBER_STATE_DRAINING, pb.MemberState_MEMBER_STATE_LEFT:
		return nil
	}
	return withExit(ExitPending, errors.Newf("member %s is %s, not draining yet", result.Member, result.State))
}

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version of filbertrillctl.
func (*versionCommand) Run(s *session) error {
	if s.json {
		return s.printJSON(map[string]string{"version": s.version})
	}
	return s.printf("filbertrillctl %s\n", s.version)
}

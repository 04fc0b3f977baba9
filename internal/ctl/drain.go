package ctl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// drainCommand asks a member to leave.
type drainCommand struct {
	Member string `arg:"" help:"Identifier of the member."`
}

// drained is the result of a drain for output.
type drainResult struct {
	Member string `json:"member"`
	State  string `json:"state"`
}

// Run asks for the drain and shows the state that the member then has.
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

// versionCommand shows the version.
type versionCommand struct{}

// Run shows the version of this tool.
func (*versionCommand) Run(s *session) error {
	if s.json {
		return s.printJSON(map[string]string{"version": s.version})
	}
	return s.printf("filbertrillctl %s\n", s.version)
}

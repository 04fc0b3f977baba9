package peer

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// sessionServer implements the Mesh service: it passes the messages of peers to the handler
// and answers their pings.
type sessionServer struct {
	mesh *Mesh
}

// Session receives the messages of one peer until the connection fails.
func (s *sessionServer) Session(stream pb.DRPCMesh_SessionStream) error {
	if err := checkToken(stream.Context(), s.mesh.opts.Secret, time.Now()); err != nil {
		s.mesh.rejections.record(stream.Context(), err, s.mesh.opts.Logger)
		return err
	}
	for {
		env, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive from peer")
		}
		s.mesh.opts.CountBytes(proto.Size(env), false, messageKind(env), env.From)
		if ping := env.GetPing(); ping != nil {
			pong := &pb.Pong{Seq: ping.Seq, Member: s.mesh.opts.ID, Incarnation: s.mesh.opts.Incarnation}
			s.mesh.opts.FillPong(pong)
			if err := stream.Send(pong); err != nil {
				return errors.Wrap(err, "answer ping")
			}
			s.mesh.opts.CountBytes(proto.Size(pong), true, "pong", env.From)
			continue
		}
		s.mesh.opts.Handler(env)
	}
}

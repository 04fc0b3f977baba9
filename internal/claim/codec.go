package claim

import (
	"time"
	"unique"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Encode encodes a batch as a value of the log.
func Encode(b Batch) ([]byte, error) {
	m := &pb.ClaimBatch{Daemon: b.Daemon, Incarnation: b.Incarnation, TimeMs: b.CreatedAt.UnixMilli()}
	for _, r := range b.Records {
		m.Records = append(m.Records, recordToProto(r))
	}
	data, err := proto.Marshal(m)
	return data, errors.Wrap(err, "encode claims")
}

func recordToProto(r Record) *pb.ClaimRecord {
	m := &pb.ClaimRecord{Kind: pb.ClaimKind(r.Kind), Key: r.Key[:], Attempt: r.Attempt[:]}
	if r.Kind == KindClaim {
		m.Content = r.Content[:]
	}
	if o := r.Outcome; o != nil {
		m.Outcome = &pb.ClaimOutcome{Status: uint32(o.Status), Body: o.Body, Cut: o.BodyDropped}
		for _, f := range o.Header {
			m.Outcome.Header = append(m.Outcome.Header, &pb.ClaimHeader{Name: f.Name, Value: f.Value})
		}
	}
	return m
}

// Decode decodes a value of the log. It returns an error, and an unreadable batch, if the value is not a valid batch.
func Decode(data []byte) (Batch, error) {
	var m pb.ClaimBatch
	if err := proto.Unmarshal(data, &m); err != nil {
		return Batch{Unreadable: true}, errors.Wrap(err, "decode claims")
	}
	if m.TimeMs <= 0 || m.Daemon == "" {
		return Batch{Unreadable: true}, errors.New("decode claims: batch without time or daemon")
	}
	b := Batch{Daemon: m.Daemon, Incarnation: m.Incarnation, CreatedAt: time.UnixMilli(m.TimeMs)}
	for _, r := range m.Records {
		record, err := recordFromProto(r)
		if err != nil {
			return Batch{CreatedAt: b.CreatedAt, Unreadable: true}, err
		}
		b.Records = append(b.Records, record)
	}
	return b, nil
}

func recordFromProto(m *pb.ClaimRecord) (Record, error) {
	r := Record{Kind: Kind(m.Kind)}
	valid := copyHash(r.Key[:], m.Key) && copyHash(r.Attempt[:], m.Attempt)
	switch r.Kind {
	case KindClaim:
		valid = valid && copyHash(r.Content[:], m.Content)
	case KindRelease:
	case KindOutcome:
		valid = valid && m.Outcome != nil
	default:
		valid = false
	}
	if !valid {
		return Record{}, errors.New("decode claims: batch contains an invalid record")
	}
	if o := m.Outcome; o != nil {
		r.Outcome = &Outcome{Status: int(o.Status), Body: o.Body, BodyDropped: o.Cut}
		for _, f := range o.Header {
			r.Outcome.Header = append(r.Outcome.Header, HeaderField{Name: unique.Make(f.Name).Value(), Value: unique.Make(f.Value).Value()})
		}
	}
	return r, nil
}

func copyHash(dst, src []byte) bool { return len(src) == len(dst) && copy(dst, src) == len(dst) }

package exchange

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// Guards against refused connections that daemons of other zones are not told of, and against summaries that grow with them.
func TestMergeViewsKeepsNewestRefusals(t *testing.T) {
	view := func(refused ...*pb.RefusedServer) *pb.View { return &pb.View{Refused: refused} }
	merged := MergeViews([]*pb.View{
		view(), view(&pb.RefusedServer{Server: 1, Process: 11, AgeMs: 900}), view(&pb.RefusedServer{Server: 1, Process: 11, AgeMs: 100}),
	})
	if assert.Len(t, merged.Refused, 1) {
		assert.EqualValues(t, 100, merged.Refused[0].AgeMs)
	}
	assert.Len(t, subtractView(merged, view()).Refused, 1)
	assert.Len(t, withoutEvidence(merged).Refused, 1)
	assert.Equal(t, 1, viewEntries(merged))

	var many []*pb.RefusedServer
	for process := range uint64(2 * maxMergedRefused) {
		many = append(many, &pb.RefusedServer{Server: process, Process: process})
	}
	assert.Len(t, MergeViews([]*pb.View{view(), view(many...)}).Refused, maxMergedRefused)
}

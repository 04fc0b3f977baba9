package bounded_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/bounded"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// Guards against lists within messages, of numbers or in fields that a newer sender knows, that are not counted or not accepted.
func TestEntriesOfAllListsAreCounted(t *testing.T) {
	unknown := &pb.State{}
	unknown.ProtoReflect().SetUnknown([]byte("\xfa\x3f\x05aaaaa")) // field 1023
	for name, c := range map[string]struct {
		message proto.Message
		entries int
	}{
		"nothing":        {&pb.State{}, 0},
		"fields":         {&pb.Member{Id: "a", Zone: "z", Draining: true}, 0},
		"unknown":        {unknown, 0},
		"list":           {&pb.State{Members: []*pb.Member{{}, {}, {}}}, 3},
		"nested":         {&pb.State{View: &pb.View{Suspects: []*pb.Suspect{{Ends: []*pb.ServerEnd{{}, {}}}, {}}}}, 5},
		"names":          {&pb.State{View: &pb.View{Evacuations: &pb.Evacuations{Zones: []string{"", "a"}}}}, 4},
		"packed numbers": {&pb.Prompts{Servers: []*pb.ServerPrompts{{Parts: make([]uint64, 160)}}}, 1 + 1 + 160*8/128},
	} {
		data, err := proto.Marshal(c.message)
		require.NoError(t, err)
		descriptor := c.message.ProtoReflect().Descriptor()
		assert.NoError(t, bounded.CheckEntries(data, descriptor, c.entries), name)
		if c.entries > 0 {
			assert.Error(t, bounded.CheckEntries(data, descriptor, c.entries-1), name)
		}
		if len(data) > 0 {
			assert.Error(t, bounded.CheckEntries(data[:len(data)-1], descriptor, 1000), "%s, cut off", name)
		}
	}
}

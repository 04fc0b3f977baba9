package eventstream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// textOf returns the event with the ID.
func textOf(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// read passes the reads to the tracker like a caller of Accept does. It returns what is forwarded.
func read(t *Tracker, reads ...string) (forwarded string, err error) {
	t.StartAnswer()
	rest := ""
	for _, data := range reads {
		batch, err := t.Accept([]byte(rest + data))
		forwarded += string(batch.Forward)
		rest = (rest + data)[batch.Consumed:]
		if err != nil {
			return forwarded, err
		}
	}
	return forwarded, t.EndAnswer([]byte(rest))
}

// splits calls f with all ways to part the text into three reads, also empty ones.
func splits(text string, f func(reads ...string)) {
	for i := range len(text) + 1 {
		for j := i; j <= len(text); j++ {
			f(text[:i], text[i:j], text[j:])
		}
	}
}

func TestSoundStreamIsForwardedUnchangedHoweverItIsSplit(t *testing.T) {
	for name, text := range map[string]string{
		"from 1":       textOf(1) + textOf(2) + textOf(3),
		"from 0":       textOf(0) + textOf(1) + textOf(2),
		"CR LF":        strings.ReplaceAll(textOf(1)+textOf(2), "\n", "\r\n"),
		"other fields": "x-versions: 2\nid: 1\nevent: e\ndata: a\ndata\n\nid:2\nretry: 1\ndata:\n\n",
		"comments":     textOf(1) + ": comment\n\n" + ":\nid: 2\ndata: x\n\n" + ": end\n\n",
	} {
		splits(text, func(reads ...string) {
			var tracker Tracker
			forwarded, err := read(&tracker, reads...)
			require.NoError(t, err, "%s: %q", name, reads)
			require.Equal(t, text, forwarded, "%s: %q", name, reads)
		})
	}
}

// Guards against a position that runs ahead of what is forwarded when intact events and a faulty one share a read.
func TestEventsBeforeFaultyOneAreForwardedHoweverTheyAreSplit(t *testing.T) {
	const last = 4
	for fault, spoil := range map[string]func(id int) string{
		"other bytes":        func(id int) string { return strings.Repeat("#", len(textOf(id))-2) + "\n\n" },
		"no ID":              func(int) string { return "data: x\n\n" },
		"no data":            func(id int) string { return fmt.Sprintf("id: %d\n\n", id) },
		"ID of no number":    func(int) string { return "id: x\ndata: x\n\n" },
		"two IDs":            func(id int) string { return fmt.Sprintf("id: %d\nid: %d\ndata: x\n\n", id, id) },
		"line of no field":   func(id int) string { return fmt.Sprintf("id: %d\ndata: x\nxxxx\n\n", id) },
		"carriage return":    func(id int) string { return fmt.Sprintf("id: %d\ndata: x\rid: 9\n\n", id) },
		"missing":            func(int) string { return "" },
		"repeated":           func(id int) string { return textOf(id) + textOf(id) },
		"earlier one":        func(id int) string { return textOf(id - 1) },
		"later one":          func(id int) string { return textOf(id + 1) },
		"end is not its own": func(id int) string { return strings.TrimSuffix(textOf(id), "\n") },
	} {
		for faulty := 2; faulty < last; faulty++ {
			text, before := "", ""
			for id := 1; id <= last; id++ {
				switch {
				case id == faulty:
					text += spoil(id)
				default:
					text += textOf(id)
				}
				if id < faulty || (id == faulty && fault == "repeated") {
					before += textOf(id)
				}
			}
			splits(text, func(reads ...string) {
				var tracker Tracker
				forwarded, err := read(&tracker, reads...)
				require.Error(t, err, "%s: %q", fault, reads)
				require.Equal(t, before, forwarded, "%s: %q", fault, reads)
				require.Equal(t, strings.Count(before, "id"), tracker.Delivered())
				require.Equal(t, fmt.Sprint(tracker.Delivered()), tracker.LastEventID())
			})
		}
	}
}

// Guards against callers that resume and get events that they have, or miss some, as nothing compares the first event of the
// answer with theirs.
func TestResumedStreamGoesOnBehindTheCallersLastEvent(t *testing.T) {
	for name, test := range map[string]struct {
		answer, forwarded string
		fails             bool
	}{
		"goes on":                     {answer: textOf(4) + textOf(5), forwarded: textOf(4) + textOf(5)},
		"repeats the last":            {answer: textOf(3) + textOf(4), forwarded: textOf(4)},
		"begins anew":                 {answer: textOf(1) + textOf(2) + textOf(3) + textOf(4), forwarded: textOf(4)},
		"leaves one out":              {answer: textOf(5) + textOf(6), fails: true},
		"leaves one out after repeat": {answer: textOf(2) + textOf(4), fails: true},
		"goes on and repeats":         {answer: textOf(4) + textOf(3), forwarded: textOf(4), fails: true},
		"repeats one twice":           {answer: textOf(3) + textOf(3) + textOf(4), fails: true},
	} {
		splits(test.answer, func(reads ...string) {
			tracker, err := NewTracker("3")
			require.NoError(t, err)
			forwarded, err := read(&tracker, reads...)
			require.Equal(t, test.fails, err != nil, "%s: %v", name, err)
			require.Equal(t, test.forwarded, forwarded, name)
		})
	}
}

// Guards against an answer without new events that ends a stream as complete.
func TestEndNeedsNewEvent(t *testing.T) {
	for _, position := range []string{"", "3"} {
		tracker, err := NewTracker(position)
		require.NoError(t, err)
		for range 2 {
			_, err = read(&tracker)
			require.ErrorIs(t, err, ErrNoEvent)
			_, err = read(&tracker, ": comment\n\n")
			require.ErrorIs(t, err, ErrNoEvent)
		}
	}
	tracker, err := NewTracker("3")
	require.NoError(t, err)
	_, err = read(&tracker, textOf(2)+textOf(3))
	require.ErrorIs(t, err, ErrNoEvent, "events that the caller has")
	_, err = read(&tracker, textOf(4))
	require.NoError(t, err)
}

func TestLastEventIDOfCallerMustBeNumber(t *testing.T) {
	for _, text := range []string{"x", "-1", "+1", "1.5", "1 ", "18446744073709551615", "18446744073709551616", "0x1"} {
		_, err := NewTracker(text)
		assert.Error(t, err, text)
	}
	for _, text := range []string{"", "0", "12", "18446744073709551614"} {
		tracker, err := NewTracker(text)
		require.NoError(t, err, text)
		assert.Equal(t, text, tracker.LastEventID())
	}
}

func TestCommentsBeforeFirstEventAreNotForwarded(t *testing.T) {
	var tracker Tracker
	forwarded, err := read(&tracker, ": a\n\n", ": b\n\n"+textOf(1))
	require.NoError(t, err)
	assert.Equal(t, textOf(1), forwarded)
}

// A stream that several servers send, some of them faulty, is forwarded without gaps and repeats.
func TestForwardedEventsFollowEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		forwarded := ""
		for range rapid.IntRange(1, 5).Draw(t, "answers") {
			text := ""
			for _, id := range rapid.SliceOfN(rapid.IntRange(0, 6), 0, 8).Draw(t, "ids") {
				text += textOf(id)
			}
			cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
			part, _ := read(&tracker, text[:cut], text[cut:])
			forwarded += part
		}
		want := ""
		for i := range tracker.Delivered() {
			id := i
			if !strings.HasPrefix(forwarded, "id: 0\n") {
				id++
			}
			want += textOf(id)
		}
		require.Equal(t, want, forwarded)
	})
}

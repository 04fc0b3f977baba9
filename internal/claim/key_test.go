package claim

import (
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

var testIssuer = Issuer{Secret: "a-secret-of-the-fleet", Daemon: "d1", Incarnation: 42}

func TestIssuedKeys(t *testing.T) {
	text := testIssuer.Issue("small", testStart, [8]byte{1})
	key, err := testIssuer.Parse("small", text)
	require.NoError(t, err)
	require.True(t, key.Issued())
	require.Equal(t, "d1", key.Issuer)
	require.EqualValues(t, 42, key.Incarnation)
	require.True(t, testStart.Equal(key.CreatedAt))

	_, err = testIssuer.Parse("large", text)
	require.ErrorIs(t, err, ErrKeyInvalid)
	other := testIssuer
	other.Secret = "another-secret"
	_, err = other.Parse("small", text)
	require.ErrorIs(t, err, ErrKeyInvalid)
}

func TestCallerKeys(t *testing.T) {
	id := uuid.Must(uuid.NewV7())
	key, err := testIssuer.Parse("small", strings.ToUpper(id.String()))
	require.NoError(t, err)
	require.Equal(t, id.String(), key.Text, "upper and lower case are the same key")
	require.WithinDuration(t, time.Now(), key.CreatedAt, time.Minute)
	require.NotEqual(t, key.Hash("small"), key.Hash("large"))

	for _, text := range []string{"", "order-17", uuid.NewString(), "fbk1_", "fbk1_AAAA"} {
		_, err := testIssuer.Parse("small", text)
		require.ErrorIs(t, err, ErrKeyInvalid, text)
	}
}

func FuzzParseKey(f *testing.F) {
	issued := testIssuer.Issue("small", testStart, [8]byte{1})
	f.Add(issued)
	f.Add("fbk1_")
	f.Add(strings.Replace(issued, "fbk1_", "fbk1_A", 1))
	f.Add("018f4e3a-0000-7000-8000-000000000000")
	f.Add(issuedKeyPrefix + base64.RawURLEncoding.EncodeToString(make([]byte, headerBytes+macBytes+1)))
	f.Fuzz(func(t *testing.T, text string) {
		key, err := testIssuer.Parse("small", text)
		if err != nil {
			return
		}
		if key.Issued() && text != issued {
			t.Fatalf("accepted a key that was never issued: %q", text)
		}
		again, err := testIssuer.Parse("small", key.Text)
		if err != nil || again.Hash("small") != key.Hash("small") {
			t.Fatalf("%q does not round-trip", key.Text)
		}
	})
}

func FuzzDecodeBatch(f *testing.F) {
	data, _ := Encode(Batch{Daemon: "d1", CreatedAt: testStart, Records: []Record{
		{Kind: KindClaim, Key: Hash{1}, Attempt: AttemptID{1}, Content: Hash{1}},
		{Kind: KindOutcome, Key: Hash{1}, Attempt: AttemptID{1}, Outcome: &Outcome{Status: 201, Body: []byte("x")}},
		{Kind: KindRelease, Key: Hash{1}, Attempt: AttemptID{1}},
	}})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data)
		if err != nil {
			return
		}
		idx := newIndex()
		idx.reset(0, time.Time{})
		idx.apply(b)
		data, err = Encode(b)
		if err != nil {
			return // strings that are not valid UTF-8
		}
		if again, err := Decode(data); err != nil || len(again.Records) != len(b.Records) {
			t.Fatalf("batch does not round-trip: %v", err)
		}
	})
}

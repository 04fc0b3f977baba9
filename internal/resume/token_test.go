package resume

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1_800_000_000, 0)

var claims = Claims{Account: "small", Service: "drafter", Server: "engine-1", AttemptID: "r1", IncludeUsage: true, IssuedAt: now.Unix()}

func TestVerifyAcceptsOnlySignedClaims(t *testing.T) {
	s := NewSigner("a secret of the fleet")
	token := s.Sign(claims)
	got, err := s.Verify(token, now.Add(MaxTokenAge))
	require.NoError(t, err)
	require.Equal(t, claims, got)

	for i := range token {
		tampered := []byte(token)
		tampered[i] ^= 1
		// The last character of unpadded base64 has bits that are not decoded.
		if got, err := s.Verify(string(tampered), now); err == nil {
			require.Equal(t, len(token)-1, i)
			require.Equal(t, claims, got)
		}
	}
	for name, verifiedAt := range map[string]time.Time{"expired": now.Add(MaxTokenAge + time.Second), "issued in the future": now.Add(-2 * maxClockSkew)} {
		_, err = s.Verify(token, verifiedAt)
		require.ErrorIs(t, err, ErrInvalid, name)
	}
	_, err = NewSigner("another secret").Verify(token, now)
	require.ErrorIs(t, err, ErrInvalid)
}

func FuzzVerify(f *testing.F) {
	s := NewSigner("a secret of the fleet")
	token := s.Sign(claims)
	for _, seed := range []string{token, "", "v1.", "v1..", "v1.e30.", "v1." + token, token + "."} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		got, err := s.Verify(raw, now)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return
		}
		require.Equal(t, claims, got, "a token that was not signed was accepted")
	})
}

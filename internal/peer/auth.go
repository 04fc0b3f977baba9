package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmetadata"
)

// Keys of the drpc metadata that carries the authentication token.
const (
	metaSender = "filbertrill-sender"
	metaTime   = "filbertrill-time"
	metaMAC    = "filbertrill-mac"
)

// maxTokenAge is the maximum difference between the time of a token and the local clock, in
// either direction. It bounds how long a captured token can be replayed.
const maxTokenAge = time.Minute

// ErrUnauthenticated is returned for calls without a valid token. Its text must not change:
// drpc transmits only the text of an error, by which links recognize it.
var ErrUnauthenticated = errors.New("unauthenticated: the shared secret does not match")

// withToken adds a token to the metadata of a call. The token is the sender, the current time
// in Unix seconds, and their MAC under the shared secret.
func withToken(ctx context.Context, secret, sender string) context.Context {
	unixSeconds := strconv.FormatInt(time.Now().Unix(), 10)
	return drpcmetadata.AddPairs(ctx, map[string]string{
		metaSender: sender,
		metaTime:   unixSeconds,
		metaMAC:    computeMAC(secret, sender, unixSeconds),
	})
}

// computeMAC returns the hexadecimal HMAC-SHA256 of the sender and the time under the secret.
func computeMAC(secret, sender, unixSeconds string) string {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte("filbertrill peer\x00" + sender + "\x00" + unixSeconds))
	return hex.EncodeToString(h.Sum(nil))
}

// checkToken verifies the token of a call. It returns an error that wraps ErrUnauthenticated
// if the token is missing, its MAC is wrong, or its time differs from now by more than
// maxTokenAge.
func checkToken(ctx context.Context, secret string, now time.Time) error {
	meta, _ := drpcmetadata.Get(ctx)
	want := computeMAC(secret, meta[metaSender], meta[metaTime])
	if !hmac.Equal([]byte(want), []byte(meta[metaMAC])) {
		return ErrUnauthenticated
	}
	unixSeconds, err := strconv.ParseInt(meta[metaTime], 10, 64)
	if err != nil {
		return ErrUnauthenticated
	}
	if now.Sub(time.Unix(unixSeconds, 0)).Abs() > maxTokenAge {
		return errors.Wrap(ErrUnauthenticated, "the time of the token is more than 1m from the local clock: check the clocks")
	}
	return nil
}

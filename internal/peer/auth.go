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

// Metadata keys of the token.
const (
	metaSender = "filbertrill-sender"
	metaTime   = "filbertrill-time"
	metaMAC    = "filbertrill-mac"
)

// maxTokenAge is how far the clocks of two daemons may differ.
const maxTokenAge = time.Minute

// ErrUnauthenticated is returned to callers without a valid token.
var ErrUnauthenticated = errors.New("unauthenticated: the shared secret does not match")

// withToken adds a token, made from the shared secret, to the metadata of a call.
func withToken(ctx context.Context, secret, sender string) context.Context {
	seconds := strconv.FormatInt(time.Now().Unix(), 10)
	return drpcmetadata.AddPairs(ctx, map[string]string{
		metaSender: sender,
		metaTime:   seconds,
		metaMAC:    mac(secret, sender, seconds),
	})
}

func mac(secret, sender, seconds string) string {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte("filbertrill peer\x00" + sender + "\x00" + seconds))
	return hex.EncodeToString(h.Sum(nil))
}

// checkToken verifies the token of a call. It returns ErrUnauthenticated for a missing, wrong or old one.
func checkToken(ctx context.Context, secret string, now time.Time) error {
	meta, _ := drpcmetadata.Get(ctx)
	want := mac(secret, meta[metaSender], meta[metaTime])
	if !hmac.Equal([]byte(want), []byte(meta[metaMAC])) {
		return ErrUnauthenticated
	}
	seconds, err := strconv.ParseInt(meta[metaTime], 10, 64)
	if err != nil {
		return ErrUnauthenticated
	}
	if now.Sub(time.Unix(seconds, 0)).Abs() > maxTokenAge {
		return errors.Wrap(ErrUnauthenticated, "token is too old: check the clocks")
	}
	return nil
}

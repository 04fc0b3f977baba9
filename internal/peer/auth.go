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
	unixSeconds := strconv.FormatInt(time.Now().Unix(), 10)
	return drpcmetadata.AddPairs(ctx, map[string]string{
		metaSender: sender,
		metaTime:   unixSeconds,
		metaMAC:    computeMAC(secret, sender, unixSeconds),
	})
}

func computeMAC(secret, sender, unixSeconds string) string {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte("filbertrill peer\x00" + sender + "\x00" + unixSeconds))
	return hex.EncodeToString(h.Sum(nil))
}

// checkToken verifies the token of a call. It returns ErrUnauthenticated for a missing, wrong or old one.
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
		return errors.Wrap(ErrUnauthenticated, "token is too old: check the clocks")
	}
	return nil
}

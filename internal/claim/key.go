package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// ErrKeyInvalid says that an idempotency key has none of the accepted forms.
var ErrKeyInvalid = errors.New("idempotency key is neither a UUID of version 7 nor an issued key")

// issuedPrefix begins the keys that daemons issue.
const issuedKeyPrefix = "fbk1_"

// Sizes of an issued key, in bytes.
const (
	nonceBytes      = 8
	headerBytes     = 8 + 8 + nonceBytes // incarnation, time, nonce
	macBytes        = 16
	maxIssuedKeyLen = 1024
)

// Key is an idempotency key of a caller.
type Key struct {
	Text      string
	CreatedAt time.Time // when it was made
	// Issuer is the daemon that issued the key; empty for a key of the caller's own.
	Issuer      string
	Incarnation uint64 // of the issuer
}

// Issued reports whether a daemon issued the key.
func (k Key) Issued() bool { return k.Issuer != "" }

// Hash returns the hash of the key within the account.
func (k Key) Hash(account string) Hash { return digest("key", account, k.Text) }

// ContentHash returns the hash of what a request asks for.
func ContentHash(service, method, path string, body []byte) Hash {
	return digest("content", service, method, path, string(body))
}

// digest hashes the parts, each with its length.
func digest(parts ...string) Hash {
	h := sha256.New()
	for _, p := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		_, _ = io.WriteString(h, p)
	}
	return Hash(h.Sum(nil))
}

// Issuer makes and checks issued keys.
type Issuer struct {
	Secret      string
	Daemon      string
	Incarnation uint64
}

// Issue returns a key of the account.
func (i Issuer) Issue(account string, now time.Time, nonce [nonceBytes]byte) string {
	payload := make([]byte, 0, headerBytes+len(i.Daemon)+macBytes)
	payload = binary.BigEndian.AppendUint64(payload, i.Incarnation)
	payload = binary.BigEndian.AppendUint64(payload, uint64(now.UnixMilli()))
	payload = append(payload, nonce[:]...)
	payload = append(payload, i.Daemon...)
	payload = append(payload, i.mac(account, payload)...)
	return issuedKeyPrefix + base64.RawURLEncoding.EncodeToString(payload)
}

func (i Issuer) mac(account string, payload []byte) []byte {
	h := hmac.New(sha256.New, []byte(i.Secret))
	_, _ = io.WriteString(h, "filbertrill issued key\x00"+account+"\x00")
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// Parse reads the key of a request of the account. It returns ErrKeyInvalid for a key of
// no accepted form and for an issued one of another account or secret.
func (i Issuer) Parse(account, text string) (Key, error) {
	if strings.HasPrefix(text, issuedKeyPrefix) {
		return i.parseIssued(account, text)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrKeyInvalid
	}
	var millis [8]byte
	copy(millis[2:], id[:6])
	return Key{Text: id.String(), CreatedAt: time.UnixMilli(int64(binary.BigEndian.Uint64(millis[:])))}, nil
}

func (i Issuer) parseIssued(account, text string) (Key, error) {
	if len(text) > maxIssuedKeyLen {
		return Key{}, ErrKeyInvalid
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimPrefix(text, issuedKeyPrefix))
	if err != nil || len(data) <= headerBytes+macBytes {
		return Key{}, ErrKeyInvalid
	}
	payload, mac := data[:len(data)-macBytes], data[len(data)-macBytes:]
	if !hmac.Equal(mac, i.mac(account, payload)) {
		return Key{}, ErrKeyInvalid
	}
	return Key{
		Text:        text,
		CreatedAt:   time.UnixMilli(int64(binary.BigEndian.Uint64(payload[8:]))),
		Issuer:      string(payload[headerBytes:]),
		Incarnation: binary.BigEndian.Uint64(payload),
	}, nil
}

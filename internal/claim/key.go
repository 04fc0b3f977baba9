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

// ErrKeyInvalid is returned for an idempotency key that has none of the accepted forms.
var ErrKeyInvalid = errors.New("idempotency key is neither a version 7 UUID nor a key issued to this account")

// issuedKeyPrefix is the prefix of keys that daemons issue.
const issuedKeyPrefix = "fbk1_"

// Sizes of the parts of an issued key, in bytes. maxIssuedKeyLen limits the length of its text.
const (
	nonceBytes      = 8
	headerBytes     = 8 + 8 + nonceBytes // incarnation, time, nonce
	macBytes        = 16
	maxIssuedKeyLen = 1024
)

// Key is a parsed idempotency key.
type Key struct {
	Text      string
	CreatedAt time.Time // to the millisecond
	// Issuer is the ID of the daemon that issued the key, or empty if the caller created it.
	Issuer      string
	Incarnation uint64 // of the issuing daemon
}

// Issued reports whether the key was issued by a daemon.
func (k Key) Issued() bool { return k.Issuer != "" }

// Hash returns the hash of the account and the key.
func (k Key) Hash(account string) Hash { return digest("key", account, k.Text) }

// ContentHash returns the hash of a request's service, method, path and body.
func ContentHash(service, method, path string, body []byte) Hash {
	return digest("content", service, method, path, string(body))
}

// digest hashes the parts, each preceded by its length so that their boundaries count.
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

// Issuer issues keys of one daemon and verifies keys with a secret shared by all daemons.
type Issuer struct {
	Secret      string
	Daemon      string
	Incarnation uint64
}

// Issue returns a new key for the account.
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

// Parse parses an idempotency key that the account sent. It returns ErrKeyInvalid if the key is
// neither a version 7 UUID nor a key issued to the account with the same secret.
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

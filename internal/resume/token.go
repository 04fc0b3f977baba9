// Package resume makes and checks the tokens with which callers continue an answer at
// another daemon.
package resume

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxAge is how long a token is valid.
const MaxTokenAge = time.Hour

// maxClockSkew is how far ahead the clock of the daemon that made a token may be.
const maxClockSkew = time.Minute

// maxTokenBytes bounds a token before it is read.
const maxTokenBytes = 4 << 10

// version begins every token.
const tokenPrefix = "v1."

// keyLabel keeps the key of tokens apart from other uses of the shared secret.
const keyLabel = "filbertrill resume token v1"

// ErrInvalid means that a token is malformed, forged or expired.
var ErrInvalid = errors.New("resume token is invalid")

// Claims are what a token tells of an answer.
type Claims struct {
	Account      string `json:"a"`
	Service      string `json:"s"`
	Server       string `json:"b"`
	AttemptID    string `json:"r"`
	IncludeUsage bool   `json:"u,omitempty"` // the caller asked for the usage
	IssuedAt     int64  `json:"t"`           // seconds since 1970
}

// Signer makes and checks tokens. It is safe for concurrent use.
type Signer struct {
	key []byte
}

// NewSigner returns the signer of a fleet's shared secret.
func NewSigner(secret string) *Signer { return &Signer{key: hmacSHA256([]byte(secret), keyLabel)} }

func hmacSHA256(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// Sign returns the token of the claims.
func (s *Signer) Sign(c Claims) string {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	payload := tokenPrefix + base64.RawURLEncoding.EncodeToString(data)
	return payload + "." + base64.RawURLEncoding.EncodeToString(hmacSHA256(s.key, payload))
}

// Verify returns the claims of a token. Its error is marked ErrInvalid.
func (s *Signer) Verify(token string, now time.Time) (Claims, error) {
	if len(token) > maxTokenBytes || !strings.HasPrefix(token, tokenPrefix) {
		return Claims{}, errors.Wrap(ErrInvalid, "form")
	}
	dot := strings.LastIndexByte(token, '.')
	payload := token[:dot]
	if len(payload) < len(tokenPrefix) {
		return Claims{}, errors.Wrap(ErrInvalid, "form")
	}
	mac, err := base64.RawURLEncoding.DecodeString(token[dot+1:])
	if err != nil || !hmac.Equal(mac, hmacSHA256(s.key, payload)) {
		return Claims{}, errors.Wrap(ErrInvalid, "signature")
	}
	return decodeClaims(payload[len(tokenPrefix):], now)
}

func decodeClaims(payload string, now time.Time) (Claims, error) {
	data, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return Claims{}, errors.Wrap(ErrInvalid, "encoding")
	}
	var c Claims
	if err := json.Unmarshal(data, &c); err != nil {
		return Claims{}, errors.Wrap(ErrInvalid, "claims")
	}
	age := now.Sub(time.Unix(c.IssuedAt, 0))
	if age > MaxTokenAge || age < -maxClockSkew {
		return Claims{}, errors.Wrap(ErrInvalid, "expired")
	}
	return c, nil
}

// Package resume signs and verifies the tokens with which callers resume an answer at another daemon.
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

// MaxTokenAge is how long a token is valid after it was issued.
const MaxTokenAge = time.Hour

// maxClockSkew is how far in the future a token may be issued, to tolerate clock differences between
// daemons.
const maxClockSkew = time.Minute

// maxTokenBytes is the maximum length of a token that Verify decodes.
const maxTokenBytes = 4 << 10

// tokenPrefix is the format version at the start of each token.
const tokenPrefix = "v1."

// keyLabel derives a key from the shared secret that is not used for anything but tokens.
const keyLabel = "filbertrill resume token v1"

// ErrInvalid means that a token is malformed, forged, expired or issued in the future.
var ErrInvalid = errors.New("resume token is invalid")

// Claims identify the attempt that a token resumes and the account that may resume it.
type Claims struct {
	Account      string `json:"a"`
	Service      string `json:"s"`
	Server       string `json:"b"`
	AttemptID    string `json:"r"`
	IncludeUsage bool   `json:"u,omitempty"` // the caller asked for the token usage
	IssuedAt     int64  `json:"t"`           // Unix time in seconds
}

// Signer signs and verifies tokens with HMAC-SHA256. It is safe for concurrent use.
type Signer struct {
	key []byte
}

// NewSigner returns a signer with a key derived from the fleet's shared secret.
func NewSigner(secret string) *Signer { return &Signer{key: hmacSHA256([]byte(secret), keyLabel)} }

func hmacSHA256(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// Sign returns a token for the claims: the prefix, the claims as base64url JSON, a dot and the base64url
// HMAC.
func (s *Signer) Sign(c Claims) string {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // cannot happen: Claims has only strings, integers and booleans
	}
	payload := tokenPrefix + base64.RawURLEncoding.EncodeToString(data)
	return payload + "." + base64.RawURLEncoding.EncodeToString(hmacSHA256(s.key, payload))
}

// Verify returns the claims of a token if it is valid at the time now. Otherwise the error wraps
// ErrInvalid.
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

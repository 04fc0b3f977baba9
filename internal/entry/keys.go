package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/filbertrill/filbertrill/internal/result"
)

// maxKeysPerResponse is the maximum number of keys in a response of /v1/keys.
const maxKeysPerResponse = 100

// KeyIssuer issues idempotency keys that only this daemon accepts.
type KeyIssuer interface {
	Issue(account string, now time.Time) string
	// Lifetime is how long an issued key may be used.
	Lifetime() time.Duration
}

type keysResponse struct {
	Keys       []string `json:"keys"`
	Entry      string   `json:"entry"` // the only address that accepts the keys
	LifetimeMS int64    `json:"lifetime_ms"`
}

// serveKeys issues as many keys as the query parameter count says.
func (s *Server) serveKeys(w http.ResponseWriter, req *http.Request) {
	_, account, err := s.authenticate(req)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	count, err := keyCount(req)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	response := keysResponse{
		Entry:      s.opts.Members.Self().ClientAddress,
		LifetimeMS: s.opts.Keys.Lifetime().Milliseconds(),
	}
	for range count {
		response.Keys = append(response.Keys, s.opts.Keys.Issue(account.ID, time.Now()))
	}
	writeJSON(w, response)
}

// keyCount returns the query parameter count, or 1 if it is absent.
func keyCount(req *http.Request) (int, error) {
	raw := req.URL.Query().Get("count")
	if raw == "" {
		return 1, nil
	}
	count, err := strconv.Atoi(raw)
	if err != nil || count < 1 || count > maxKeysPerResponse {
		return 0, result.New(result.BodyMalformed, "query parameter count must be an integer from 1 to %d", maxKeysPerResponse)
	}
	return count, nil
}

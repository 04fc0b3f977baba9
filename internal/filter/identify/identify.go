// Package identify is a filter that looks up the client account of a request by its API key.
package identify

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// New returns the filter.
func New() filter.Filter {
	return func(next filter.Handler) filter.Handler {
		return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) error {
			account, err := Account(r.Config, r.HTTP)
			if err != nil {
				return err
			}
			r.Account = account
			return next.Handle(ctx, r)
		})
	}
}

// Account returns the account of the API key in the request's bearer token. Its errors are
// KeyMissing and KeyUnknown.
func Account(config *ticket.Config, h *http.Request) (ticket.Account, error) {
	key, ok := strings.CutPrefix(h.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return ticket.Account{}, result.New(result.KeyMissing, "the request carries no API key")
	}
	hash := sha256.Sum256([]byte(key))
	account, ok := config.AccountByKeyHash(hex.EncodeToString(hash[:]))
	if !ok {
		return ticket.Account{}, result.New(result.KeyUnknown, "the API key belongs to no client account")
	}
	return account, nil
}

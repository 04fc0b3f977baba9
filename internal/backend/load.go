package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxLoadBytes is the longest load report that is read.
const maxLoadBytes = 64 << 10

// Load asks an engine how many requests it has, running and waiting. Engines tell it late.
func (e *Engine) Load(ctx context.Context, address string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return 0, errors.Wrap(err, "ask engine for load")
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "ask engine for load")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, &StatusError{Status: resp.StatusCode}
	}
	var load struct{ Running, Waiting int }
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load); err != nil {
		return 0, errors.Wrap(err, "load is not JSON")
	}
	return load.Running + load.Waiting, nil
}

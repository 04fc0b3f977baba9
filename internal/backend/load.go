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

// ErrLoadNotTold means that an engine was reached and did not tell its load.
var ErrLoadNotReported = errors.New("engine did not tell its load")

// Load asks an engine how many requests it has, running and waiting. Engines tell it late.
// It returns ErrLoadNotTold for any answer but a load.
func (e *EngineClient) Load(ctx context.Context, address string) (int, error) {
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
		return 0, errors.Wrapf(ErrLoadNotReported, "status %d", resp.StatusCode)
	}
	var load struct{ Running, Waiting int }
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load); err != nil {
		return 0, errors.Mark(errors.Wrap(err, "load is not JSON"), ErrLoadNotReported)
	}
	return load.Running + load.Waiting, nil
}

package backend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/bounded"
)

// maxLoadBytes is the maximum number of bytes read of a load report.
const maxLoadBytes = 64 << 10

// ErrLoadNotReported means that an engine responded without a valid load report.
var ErrLoadNotReported = errors.New("engine did not report its load")

// Load returns the number of running and waiting requests of an engine, which may lag behind its actual
// load. The error is marked ErrLoadNotReported if the engine responded with anything but a load report.
func (e *EngineClient) Load(ctx context.Context, address string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return 0, errors.Wrap(err, "get load of engine")
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "get load of engine")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Wrapf(ErrLoadNotReported, "status %d", resp.StatusCode)
	}
	var load struct{ Running, Waiting int }
	body, err := bounded.ReadAll(resp.Body, maxLoadBytes)
	if err == nil {
		err = json.Unmarshal(body, &load)
	}
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "decode load of engine"), ErrLoadNotReported)
	}
	return load.Running + load.Waiting, nil
}

package attempt

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/internal/result"
)

// errNoAnswer is the cause of a failure if the connection returned no error.
var errNoAnswer = errors.New("connection ended without an answer")

// isClientError reports whether an error status of an engine means that the request itself is invalid,
// so that every server would return the status. Statuses 408 and 429 are excluded because they depend
// on the state of the server.
func isClientError(e *backend.StatusError) bool {
	if e.Status == http.StatusTooManyRequests || e.Status == http.StatusRequestTimeout {
		return false
	}
	return e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError
}

// forwardRejection writes the engine's status and body to the caller.
func forwardRejection(w *filter.Writer, e *backend.StatusError) error {
	if contentType := e.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set(result.HeaderShouldRetry, "false")
	return w.WriteComplete(e.Status, e.Body)
}

// reclassifyNotRun replaces an error of class NotRun by AnswerLost if an earlier attempt was sent to a
// backend server, because that attempt may have run.
func reclassifyNotRun(err error, sentEarlier bool) error {
	if err == nil || !sentEarlier || result.From(err).Class() != result.NotRun {
		return err
	}
	return result.Wrap(err, result.AnswerLost, "an earlier attempt was sent to a backend server, and no further attempt could be made")
}

// errorMessage returns the message for the caller. It contains the server's ID.
func errorMessage(code result.Code, server string) string {
	if code == result.NoServerJoined {
		return "Backend server " + server + " could not be reached."
	}
	return code.Description() + " Server: " + server + "."
}

// errorText returns the message of err without its stack traces, for the log.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// logAttempt logs how the answer to an attempt has ended, and why its end is believed beyond its framing; endBasis is empty for no other
// reason. Whole answers whose framing shows the end are logged at the debug level.
func logAttempt(logger *slog.Logger, id, server string, exchange *http1.Exchange, endBasis string, err error) {
	level := slog.LevelDebug
	if err != nil || exchange.Framing() == http1.FramedByConnection {
		level = slog.LevelInfo
	}
	logger.Log(context.Background(), level, "Attempt ended.",
		"attempt", id, "server", server, "exchange", exchange, "end_basis", endBasis, "error", errorText(err))
}

// backendError wraps an error of the backend client with its result code.
func backendError(err error) error {
	if errors.Is(err, backend.ErrNotSent) {
		return result.Wrap(err, result.NoServerJoined, "the backend server could not be reached")
	}
	var status *backend.StatusError
	if errors.As(err, &status) {
		return result.Wrap(err, result.ServerFailed, "the backend server returned status %d", status.Status)
	}
	return result.Wrap(err, result.AnswerLost, "the answer of the backend server was lost")
}

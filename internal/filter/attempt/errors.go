package attempt

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
)

// errNotAnswered stands for the cause where a connection gave none.
var errNoAnswer = errors.New("no answer")

// isAnswer reports whether an error status of an engine is its answer to the request, which
// every server would give, and not its refusal or failure to run it.
func isClientError(e *backend.StatusError) bool {
	if e.Status == http.StatusTooManyRequests || e.Status == http.StatusRequestTimeout {
		return false
	}
	return e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError
}

// passStatus passes an engine's answer on.
func forwardRejection(w *filter.Writer, e *backend.StatusError) error {
	if contentType := e.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set(result.HeaderShouldRetry, "false")
	w.WriteHeader(e.Status)
	if _, err := w.Write(e.Body); err != nil {
		return result.Wrap(err, result.CallerGone, "the caller went away")
	}
	return nil
}

// truthful keeps a request that an earlier attempt sent from being told as not run.
func reclassifyNotRun(err error, sentEarlier bool) error {
	if err == nil || !sentEarlier || result.From(err).Class() != result.NotRun {
		return err
	}
	return result.Wrap(err, result.AnswerLost, "an earlier attempt was sent, and no other could be made")
}

func errorMessage(code result.Code, server string) string {
	if code == result.NoServerJoined {
		return "Backend server " + server + " could not be reached."
	}
	return code.Description() + " Server: " + server + "."
}

// text returns an error for the log, without the stacks that it carries.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// failure gives an error of the backend its result code.
func backendError(err error) error {
	if errors.Is(err, backend.ErrNotSent) {
		return result.Wrap(err, result.NoServerJoined, "the backend server could not be reached")
	}
	var status *backend.StatusError
	if errors.As(err, &status) {
		return result.Wrap(err, result.ServerFailed, "the backend server answered %d", status.Status)
	}
	return result.Wrap(err, result.AnswerLost, "the answer of the backend server was lost")
}

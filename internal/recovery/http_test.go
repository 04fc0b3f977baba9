package recovery

import (
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHTTPHandlerAnswersPanicBeforeTheAnswer(t *testing.T) {
	steps := map[string]func(http.ResponseWriter){
		"header": func(w http.ResponseWriter) { w.Header().Set("X-Left", "1") },
		"status": func(w http.ResponseWriter) { w.WriteHeader(99) }, // panics
		"flush":  func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() },
		"begun": func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		},
		"abort": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			type recorded struct {
				panic *Panic
				begun bool
			}
			panics := make(chan recorded, 1)
			server := httptest.NewUnstartedServer(HTTPHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				step(w)
				panic("after " + name)
			}), func(_ *http.Request, p *Panic, b bool) { panics <- recorded{p, b} },
				func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }))
			server.Config.ErrorLog = log.New(io.Discard, "", 0)
			server.Start()
			defer server.Close()
			response, err := http.DefaultTransport.RoundTrip(httptest.NewRequest(http.MethodGet, server.URL, nil))
			if name == "abort" {
				assert.ErrorIs(t, err, io.EOF)
				assert.Empty(t, panics)
				return
			}
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			record := <-panics
			assert.Contains(t, record.panic.Stack, "http_test.go")
			assert.LessOrEqual(t, len(record.panic.Stack), maxStackBytes)
			switch name {
			case "header", "status":
				assert.Equal(t, http.StatusInternalServerError, response.StatusCode)
				assert.Empty(t, response.Header.Get("X-Left"))
				assert.True(t, response.Close)
				assert.False(t, record.begun)
			default:
				assert.Equal(t, http.StatusOK, response.StatusCode)
				assert.True(t, record.begun)
				assert.Equal(t, name == "begun", string(body) == "part")
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			}
		})
	}
}

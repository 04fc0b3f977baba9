package plain_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/plain"
)

// TestLostAnswerConsumesSerial checks that a request whose answer is lost uses a serial number and
// that a refused request does not.
func TestLostAnswerConsumesSerial(t *testing.T) {
	s := plain.New(plain.Options{})
	server := httptest.NewServer(s)
	defer server.Close()
	defer s.Close()
	post := func() (*http.Response, error) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/stamps", nil)
		require.NoError(t, err)
		req.Header.Set("X-Request-Id", "k")
		return http.DefaultClient.Do(req)
	}

	s.SetFault(faults.Fault{Mode: faults.LoseAnswer, Count: 1})
	_, err := post()
	require.Error(t, err)
	s.SetFault(faults.Fault{Mode: faults.Refuse, Count: 1})
	resp, err := post()
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)

	resp, err = post()
	require.NoError(t, err)
	defer resp.Body.Close()
	var answer plain.RegistryEntry
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	require.EqualValues(t, 2, answer.Serial)
	require.Len(t, s.Runs(), 2)
}

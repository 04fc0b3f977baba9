package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// startClosingServer starts a server that responds to the first request only. It reads each later request
// and closes the connection without a response. It counts the requests.
func startClosingServer(t *testing.T) (address string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if requests.Add(1) == 1 {
			return
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

func TestSharedTransportResendsRequest(t *testing.T) {
	address, requests := startClosingServer(t)
	client := http.Client{Transport: NewTransport()}
	resp, err := client.Get("http://" + address)
	require.NoError(t, err)
	_ = resp.Body.Close()
	_, err = client.Get("http://" + address)
	require.Error(t, err)
	require.EqualValues(t, 3, requests.Load(), "net/http did not resend the request")
}

func TestUnrepeatableCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "{}"} {
			t.Run(method+body, func(t *testing.T) {
				address, requests := startClosingServer(t)
				plain := NewPlainClient()
				request := PlainRequest{Method: method, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(body)}
				_, err := plain.Call(t.Context(), address, request)
				require.NoError(t, err)
				_, err = plain.Call(t.Context(), address, request)
				require.Error(t, err)
				require.False(t, errors.Is(err, ErrNotSent))
				require.EqualValues(t, 2, requests.Load())
			})
		}
	}
}

func TestUnreachableServerReturnsErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = NewPlainClient().Call(t.Context(), listener.Addr().String(), PlainRequest{Method: http.MethodPost, Path: "/"})
	require.True(t, errors.Is(err, ErrNotSent))
}

func TestTimeoutIsNotErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = NewPlainClient().Call(ctx, listener.Addr().String(), PlainRequest{Method: http.MethodPost, Path: "/"})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.False(t, errors.Is(err, ErrNotSent))
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	resp, err := NewPlainClient().Call(t.Context(), server.Listener.Addr().String(), PlainRequest{Method: http.MethodPost, Path: "/"})
	require.NoError(t, err)
	require.Equal(t, http.StatusTemporaryRedirect, resp.Status)
	require.EqualValues(t, 1, requests.Load())
}

func TestPlainAnswerWithoutEndIsNotCut(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for chunk := make([]byte, 64<<10); ; {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	_, err := NewPlainClient().Call(t.Context(), server.Listener.Addr().String(), PlainRequest{Method: http.MethodGet, Path: "/"})
	require.ErrorContains(t, err, "longer than")
	require.NotErrorIs(t, err, ErrNotSent)
}

// startRepeatingServer starts a server that, before each further answer on a connection, sends the one before it again. The
// body of an answer is the path of its request.
func startRepeatingServer(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader, last := bufio.NewReader(conn), ""
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, last)
					last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
					_, _ = io.WriteString(conn, last)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// A second copy of an answer arrives late, when the connection would be in use for the next request. Plain services don't say
// which request they answer.
func TestRepeatedAnswerIsNotGivenToNextCaller(t *testing.T) {
	address := startRepeatingServer(t)
	plain := NewPlainClient()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for i := range 5 {
			path := fmt.Sprintf("/%s/%d", method, i)
			response, err := plain.Call(t.Context(), address, PlainRequest{Method: method, Path: path})
			require.NoError(t, err)
			require.Equal(t, path, string(response.Body))
		}
	}
}

// Guards against an answer that is cut though bytes of it arrive, or that is waited for beyond its limits.
func TestPlainCallIsBoundByItsSilence(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/mute" {
			<-r.Context().Done()
			return
		}
		for range 10 {
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
		if r.URL.Path == "/stalls" {
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	call := func(path string, startIn time.Duration) (*PlainResponse, error) {
		return NewPlainClient().Call(t.Context(), server.Listener.Addr().String(), PlainRequest{
			Method: http.MethodGet, Path: path, StartBy: time.Now().Add(startIn), IdleLimit: 500 * time.Millisecond,
		})
	}
	response, err := call("/flows", time.Minute)
	require.NoError(t, err)
	require.Equal(t, "xxxxxxxxxx", string(response.Body))
	_, err = call("/stalls", time.Minute)
	require.ErrorIs(t, err, ErrSilent)
	_, err = call("/mute", 50*time.Millisecond)
	require.ErrorIs(t, err, ErrSilent)
	require.NotErrorIs(t, err, ErrNotSent)
}

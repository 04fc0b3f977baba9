package entry

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// startTLSServer starts a server with the chain and returns its address and the settings of a client that trusts it.
func startTLSServer(t *testing.T, chain filter.Handler) (address string, client *tls.Config) {
	t.Helper()
	certSource := httptest.NewTLSServer(http.NotFoundHandler()) // provides a certificate
	certSource.Close()
	cert, key := writeKeyPair(t, certSource.TLS.Certificates[0])
	s, err := NewServer(Options{
		Host: "127.0.0.1", TLSCert: cert, TLSKey: key, Chain: chain,
		Config: func() *ticket.Config { return &ticket.Config{} }, Metrics: http.NotFoundHandler(),
	})
	require.NoError(t, err)
	bound, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Shutdown(t.Context()) })
	pool := x509.NewCertPool()
	pool.AddCert(certSource.Certificate())
	return bound.String(), &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}
}

func TestServeOverTLS(t *testing.T) {
	address, settings := startTLSServer(t, nil)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: settings}}
	t.Cleanup(client.CloseIdleConnections)
	resp, err := client.Get("https://" + address + "/healthz")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "ok\n", string(body))
}

// Guards against streams that are broken off over TLS and look complete to callers whose answers have no chunks.
func TestBrokenStreamLooksIncompleteWithoutChunksOverTLS(t *testing.T) {
	const event = "data: x\n\n"
	endings := map[string]func(w *filter.Writer) error{
		"complete": (*filter.Writer).EndEventStream,
		"abort":    func(w *filter.Writer) error { w.Abort(); return nil },
		"panic":    func(*filter.Writer) error { panic("within the stream") },
		"no end":   (*filter.Writer).Flush,
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			address, settings := startTLSServer(t, filter.HandlerFunc(func(_ context.Context, r *filter.Request) error {
				if err := r.Writer.StartEventStream(); err != nil {
					return err
				}
				_, _ = r.Writer.Write([]byte(event))
				_ = r.Writer.Flush()
				return end(r.Writer)
			}))
			conn, err := tls.Dial("tcp", address, settings)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.0\r\n\r\n")
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.Equal(t, event, string(body))
			if name == "complete" {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, syscall.ECONNRESET)
			}
		})
	}
}

// writeKeyPair writes a certificate and its private key to PEM files and returns their paths.
func writeKeyPair(t *testing.T, pair tls.Certificate) (cert, key string) {
	der, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	require.NoError(t, err)
	cert = writePEM(t, "cert.pem", "CERTIFICATE", pair.Certificate[0])
	return cert, writePEM(t, "key.pem", "PRIVATE KEY", der)
}

func writePEM(t *testing.T, name, kind string, der []byte) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

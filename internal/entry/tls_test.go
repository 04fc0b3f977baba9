package entry

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
)

func TestServeOverTLS(t *testing.T) {
	certSource := httptest.NewTLSServer(http.NotFoundHandler()) // provides a certificate
	certSource.Close()
	cert, key := writeKeyPair(t, certSource.TLS.Certificates[0])
	s, err := NewServer(Options{
		Host: "127.0.0.1", TLSCert: cert, TLSKey: key,
		Config: func() *ticket.Config { return nil }, Metrics: http.NotFoundHandler(),
	})
	require.NoError(t, err)
	address, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Shutdown(t.Context()) })

	pool := x509.NewCertPool()
	pool.AddCert(certSource.Certificate())
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	t.Cleanup(client.CloseIdleConnections)
	resp, err := client.Get("https://" + address.String() + "/healthz")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "ok\n", string(body))
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

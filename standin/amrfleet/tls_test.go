package amrfleet_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/core/amrsettings"
	"amaranthreach.example/standin/amrfleet"
)

const tlsRecords = `
kind: team
schema-version: 1
name: recife
spec:
  key-sha256: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]
---
kind: routing-policy
schema-version: 2
name: balanced
spec: {policy: cache-aware, recompute-weight: 1, wait-weight: 1}
---
kind: deployment
schema-version: 2
name: m1
spec: {type: model, model: m1, versions: [{weights: w1, share: 100}], routing-policy: balanced}
---
kind: deployment
schema-version: 2
name: orders
spec: {type: service, routing-policy: balanced}
`

// TestMutualTLS checks that requests are served with mutual TLS between router
// and sidecar, and that a sidecar rejects a connection without a client
// certificate.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	files, roots := newCertificate(t)
	config := amrfleet.DefaultConfig
	config.TimeScale = 20
	config.GateTLS = files
	config.CallersTLS = amrsettings.TLS{CertificateFile: files.CertificateFile, KeyFile: files.KeyFile}
	fleet, err := amrfleet.Start(context.Background(), config)
	is.NoErr(err)
	defer func() { is.NoErr(fleet.Stop()) }()
	records, err := amrrecord.Parse("records", []byte(tlsRecords))
	is.NoErr(err)
	is.NoErr(fleet.Apply(t.Context(), append(records, fleet.Records()...)...))

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fleet.Routers[0].CallersURL()+"/v1/completions",
		strings.NewReader(`{"model":"m1","prompt":"x","max_tokens":2}`))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer test")
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)

	backend, _ := fleet.Records()[0].Spec.(amrrecord.BackendServer)
	conn, err := tls.Dial("tcp", backend.Address, &tls.Config{RootCAs: roots})
	if err == nil {
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	is.True(err != nil) // The client has no certificate.
}

// newCertificate writes a self-signed certificate for server and client
// authentication and its key to files. It also returns a pool with the
// certificate.
func newCertificate(t *testing.T) (amrsettings.TLS, *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "fleet"},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Unix(1<<33, 0),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	files := amrsettings.TLS{
		CertificateFile: filepath.Join(t.TempDir(), "certificate.pem"),
		KeyFile:         filepath.Join(t.TempDir(), "key.pem"),
	}
	files.AuthorityFile = files.CertificateFile
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	is.NoErr(os.WriteFile(files.CertificateFile, certificate, 0o600))
	is.NoErr(os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	roots := x509.NewCertPool()
	is.True(roots.AppendCertsFromPEM(certificate))
	return files, roots
}

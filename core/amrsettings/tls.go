package amrsettings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// TLS names the files of a TLS identity. The zero value means no TLS.
type TLS struct {
	CertificateFile string `yaml:"certificate-file"`
	KeyFile         string `yaml:"key-file"`
	AuthorityFile   string `yaml:"authority-file"` // Certificates that peers must be signed by.
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// Check returns a Problem when only some of the files are named.
func (t TLS) Check(field string, mutual bool) error {
	if t == (TLS{}) {
		return nil
	}
	if t.CertificateFile == "" || t.KeyFile == "" {
		return &Problem{Field: field, What: "certificate-file and key-file belong together", Remedy: "name both, or neither"}
	}
	if mutual && t.AuthorityFile == "" {
		return &Problem{Field: field, What: "mutual TLS needs an authority-file", Remedy: "name the file with the authority's certificates"}
	}
	return nil
}

// Server returns the configuration of a listener, or nil without TLS. With an
// authority file, clients must present a certificate signed by it.
func (t TLS) Server() (*tls.Config, error) {
	config, pool, err := t.load()
	if config == nil || err != nil {
		return nil, err
	}
	if pool != nil {
		config.ClientCAs = pool
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// Client returns the configuration of a client, or nil without TLS.
func (t TLS) Client() (*tls.Config, error) {
	config, pool, err := t.load()
	if config == nil || err != nil {
		return nil, err
	}
	config.RootCAs = pool
	return config, nil
}

func (t TLS) load() (*tls.Config, *x509.CertPool, error) {
	if !t.Enabled() {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, nil, Invalid.Wrap(err, "cannot load the certificate; check certificate-file and key-file")
	}
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	if t.AuthorityFile == "" {
		return config, nil, nil
	}
	data, err := os.ReadFile(t.AuthorityFile)
	if err != nil {
		return nil, nil, Invalid.Wrap(err, "cannot read the authority's certificates; check authority-file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, nil, Invalid.New("%s holds no certificate; write it in PEM", t.AuthorityFile)
	}
	return config, pool, nil
}

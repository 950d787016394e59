package amrsettings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// TLS contains the names of the PEM files for one side of TLS connections. The
// zero value means that TLS is not used.
type TLS struct {
	CertificateFile string `yaml:"certificate-file"`
	KeyFile         string `yaml:"key-file"`
	AuthorityFile   string `yaml:"authority-file"` // CA certificates that verify the peer's certificate.
}

// Enabled reports whether TLS is used.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// Check returns a *FieldError with the field if TLS is configured only in part: if
// any file is set but not both the certificate and the key file, or, for mutual
// TLS, if there is no authority file. It does not read the files.
func (t TLS) Check(field string, mutual bool) error {
	if t == (TLS{}) {
		return nil
	}
	if t.CertificateFile == "" || t.KeyFile == "" {
		return &FieldError{Field: field, Message: "certificate-file and key-file must both be set", Remedy: "set both, or none of the files"}
	}
	if mutual && t.AuthorityFile == "" {
		return &FieldError{Field: field, Message: "mutual TLS needs an authority-file", Remedy: "name the file with the authority's certificates"}
	}
	return nil
}

// ServerConfig returns the configuration of a listener, or nil if TLS is not used.
// With an authority file, clients must present a certificate that one of its
// authorities signed. The error is of the type Invalid.
func (t TLS) ServerConfig() (*tls.Config, error) {
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

// ClientConfig returns the configuration of a client, or nil if TLS is not used.
// Servers are verified with the authority file, or with the system's authorities
// if there is none. The error is of the type Invalid.
func (t TLS) ClientConfig() (*tls.Config, error) {
	config, pool, err := t.load()
	if config == nil || err != nil {
		return nil, err
	}
	config.RootCAs = pool
	return config, nil
}

// load reads the files. It returns the configuration with the certificate, and the
// authorities or nil if there is no authority file.
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
		return nil, nil, Invalid.New("%s contains no certificate in PEM format; write the authority's certificates to it", t.AuthorityFile)
	}
	return config, pool, nil
}

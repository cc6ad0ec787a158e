package ctkey

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// The files of the key folders of processes and of the operator's folder.
const (
	fileAuthority    = "ca.crt"
	fileAuthorityKey = "ca.key"
	fileNode         = "node.crt"
	fileNodeKey      = "node.key"
	fileTokenKeys    = "token.key"
)

// ALPN is the name of the application protocol that peers negotiate in TLS.
const ALPN = "cherviltrestle/1"

// Bundle holds the certificates and keys of one process. It is not changed after Load.
type Bundle struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// TokenKeys are the keys for session tokens, at least one. The first one seals new
	// tokens. Tokens sealed with any of them are valid.
	TokenKeys []TokenKey
}

// Load reads the key folder of a process. Errors are of kind cterror.Invalid.
func Load(folder string) (*Bundle, error) {
	certificate, err := tls.LoadX509KeyPair(filepath.Join(folder, fileNode), filepath.Join(folder, fileNodeKey))
	if err != nil {
		return nil, keyError(err, "load the process's certificate")
	}
	authority, err := os.ReadFile(filepath.Join(folder, fileAuthority))
	if err != nil {
		return nil, keyError(err, "load the trusted certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, cterror.New(cterror.Invalid, fileAuthority+" holds no certificate", remedy)
	}
	tokenKeys, err := loadTokenKeys(filepath.Join(folder, fileTokenKeys))
	if err != nil {
		return nil, err
	}
	return &Bundle{certificate: certificate, authorities: pool, TokenKeys: tokenKeys}, nil
}

// ServerTLS returns the TLS settings for connections that peers open. Peers must present
// a certificate of a trusted authority.
func (b *Bundle) ServerTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{b.certificate},
		ClientCAs:    b.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{ALPN},
	}
}

// ClientTLS returns the TLS settings for connections to peers. A peer's certificate must
// be signed by a trusted authority and contain the DNS name PeerName.
func (b *Bundle) ClientTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{b.certificate},
		RootCAs:      b.authorities,
		ServerName:   PeerName,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{ALPN},
	}
}

// remedy is the remedy in errors about missing or invalid key files.
const remedy = "create the key folder with 'cherviltrestle keys create' and 'cherviltrestle keys issue'"

func keyError(err error, operation string) error {
	return cterror.Wrap(cterror.Invalid, err, operation, remedy)
}

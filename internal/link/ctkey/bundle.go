package ctkey

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// The files of a key folder.
const (
	fileAuthority    = "ca.crt"
	fileAuthorityKey = "ca.key"
	fileNode         = "node.crt"
	fileNodeKey      = "node.key"
	fileTokenKeys    = "token.key"
)

// ALPN is the application protocol that peers agree on in TLS.
const ALPN = "cherviltrestle/1"

// Bundle holds the keys of one process.
type Bundle struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// TokenKeys are the keys that seal session tokens; the first one seals, all
	// of them open.
	TokenKeys []TokenKey
}

// Load reads a key folder.
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

// ServerTLS returns the TLS settings for connections that peers open.
func (b *Bundle) ServerTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{b.certificate},
		ClientCAs:    b.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{ALPN},
	}
}

// ClientTLS returns the TLS settings for connections to peers. Peers are known by
// the authority that signed them, under the common name PeerName.
func (b *Bundle) ClientTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{b.certificate},
		RootCAs:      b.authorities,
		ServerName:   PeerName,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{ALPN},
	}
}

// remedy is what helps against most faults of a key folder.
const remedy = "create the key folder with 'cherviltrestle keys create' and 'cherviltrestle keys issue'"

func keyError(err error, operation string) error {
	return cterror.Wrap(cterror.Invalid, err, operation, remedy)
}

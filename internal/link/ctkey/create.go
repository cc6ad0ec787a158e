package ctkey

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// PeerName is the DNS name in every certificate that Issue creates. Peers check this name
// instead of the address: they reach processes by IP addresses, which change.
const PeerName = "peer.cherviltrestle.internal"

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	nodeLifetime      = 2 * 365 * 24 * time.Hour
	// clockSkewGrace is how long before its creation a certificate is valid. It allows
	// for hosts whose clocks are behind.
	clockSkewGrace = time.Hour
)

const (
	serialBits = 120
	folderMode = 0o700
	secretMode = 0o600
	publicMode = 0o644
)

// CreateAuthority creates the certificate authority and the first token key of a new
// fleet in the folder. The error is of kind cterror.Conflict if the folder already
// contains an authority.
func CreateAuthority(folder string, fleet string, now time.Time) error {
	if _, err := os.Stat(filepath.Join(folder, fileAuthorityKey)); err == nil {
		return cterror.Newf(cterror.Conflict, "name another folder, or issue certificates from this one",
			"%s holds an authority already", folder)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return keyError(err, "create the key folder")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return keyError(err, "create the authority's key")
	}
	template, err := newTemplate(fleet+" authority", now, authorityLifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return keyError(err, "sign the authority's certificate")
	}
	if err := writePair(folder, fileAuthority, fileAuthorityKey, der, key); err != nil {
		return err
	}
	return AddTokenKey(folder)
}

// Issue creates the key folder of a process in target. The authority in folder signs the
// process's certificate. Keys and certificate in target are overwritten.
func Issue(folder string, target string, process string, now time.Time) error {
	authority, signer, err := loadAuthority(folder)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(target, folderMode); err != nil {
		return keyError(err, "create the target folder")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return keyError(err, "create the process's key")
	}
	template, err := newTemplate(process, now, nodeLifetime)
	if err != nil {
		return err
	}
	template.DNSNames = []string{PeerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, key.Public(), signer)
	if err != nil {
		return keyError(err, "sign the process's certificate")
	}
	if err := writePair(target, fileNode, fileNodeKey, der, key); err != nil {
		return err
	}
	if err := copyFile(folder, target, fileAuthority, publicMode); err != nil {
		return err
	}
	return copyFile(folder, target, fileTokenKeys, secretMode)
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, keyError(err, "choose a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewGrace),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func loadAuthority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificateDER, err := readPEM(filepath.Join(folder, fileAuthority))
	if err != nil {
		return nil, nil, err
	}
	certificate, err := x509.ParseCertificate(certificateDER)
	if err != nil {
		return nil, nil, keyError(err, "read the authority's certificate")
	}
	keyDER, err := readPEM(filepath.Join(folder, fileAuthorityKey))
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	if err != nil {
		return nil, nil, keyError(err, "read the authority's key")
	}
	return certificate, key, nil
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError(err, "read a key file")
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, cterror.Newf(cterror.Invalid, remedy, "%s is not a PEM file", filepath.Base(path))
	}
	return block.Bytes, nil
}

func writePair(folder, certificateFile, keyFile string, certificateDER []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return keyError(err, "encode a key")
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := os.WriteFile(filepath.Join(folder, keyFile), keyPEM, secretMode); err != nil {
		return keyError(err, "write a key")
	}
	certificatePEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificateDER})
	if err := os.WriteFile(filepath.Join(folder, certificateFile), certificatePEM, publicMode); err != nil {
		return keyError(err, "write a certificate")
	}
	return nil
}

func copyFile(from, to, name string, mode os.FileMode) error {
	data, err := os.ReadFile(filepath.Join(from, name))
	if err != nil {
		return keyError(err, "read "+name)
	}
	if err := os.WriteFile(filepath.Join(to, name), data, mode); err != nil {
		return keyError(err, "write "+name)
	}
	return nil
}

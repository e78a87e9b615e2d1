package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/process/settings"
)

// authority is a certificate authority of one test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	a := &authority{t: t, cert: cert, key: key, file: filepath.Join(t.TempDir(), "authority.pem")}
	a.write(a.file, "CERTIFICATE", der)
	return a
}

func (a *authority) write(file, kind string, der []byte) {
	require.NoError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue returns the TLS settings of one instance with a new certificate.
func (a *authority) issue() settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{ownLoopback},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	dir := a.t.TempDir()
	set := settings.TLS{
		CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), AuthorityFile: a.file,
	}
	a.write(set.CertificateFile, "CERTIFICATE", der)
	a.write(set.KeyFile, "EC PRIVATE KEY", keyDER)
	return set
}

// ownLoopback is a loopback address derived from the process id, so that neither a listener
// of another process nor an outgoing connection takes a port between freeAddress and its use.
var ownLoopback = net.IPv4(127, 2, byte(os.Getpid()>>8), byte(os.Getpid()))

// usedAddresses holds the addresses that freeAddress returned: the system may assign a port again
// right after its listener was closed.
var usedAddresses = map[string]bool{}

// freeAddress returns an address without a listener, and never the same one twice.
func freeAddress(t *testing.T) string {
	for {
		listener, err := net.Listen("tcp", net.JoinHostPort(ownLoopback.String(), "0"))
		require.NoError(t, err)
		address := listener.Addr().String()
		require.NoError(t, listener.Close())
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address
		}
	}
}

// startUnavailablePlatform starts a platform in an outage, which serves only an empty instance
// list, and returns its URL.
func startUnavailablePlatform(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.InstancesPath {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(platform.Instances{})
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func testSettings(t *testing.T, name, platformURL string) settings.Settings {
	set := settings.Defaults()
	set.Instance, set.Region, set.FailureDomain = name, "r", "a"
	set.Callers.Listen, set.Peers.Listen, set.Administration.Listen = freeAddress(t), freeAddress(t), freeAddress(t)
	set.Store.Address, set.Instances.Address = platformURL, platformURL
	return set
}

// startDaemon starts a daemon that is stopped at the end of the test.
func startDaemon(t *testing.T, set settings.Settings) *Daemon {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := New(set, NewPlatform(set), log)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return d
}

func isLivePeerOf(d, other *Daemon) bool {
	for _, member := range d.members.Live(time.Now()) {
		if member.Instance == other.settings.Instance {
			return true
		}
	}
	return false
}

func TestTLSOnAllListeners(t *testing.T) {
	platformURL := startUnavailablePlatform(t)
	own, foreign := newAuthority(t), newAuthority(t)
	authorities := map[string]*authority{"entry-1": own, "entry-2": own, "stranger": foreign}
	daemons := map[string]*Daemon{}
	seeds := []string{}
	for _, name := range []string{"entry-1", "entry-2", "stranger"} {
		set := testSettings(t, name, platformURL)
		set.TLS = authorities[name].issue()
		set.SeedPeers = seeds
		daemons[name] = startDaemon(t, set)
		seeds = append(seeds, set.Peers.Listen)
	}
	one, two, stranger := daemons["entry-1"], daemons["entry-2"], daemons["stranger"]
	require.Eventually(t, func() bool { return isLivePeerOf(one, two) && isLivePeerOf(two, one) }, 20*time.Second, 100*time.Millisecond)
	require.False(t, isLivePeerOf(one, stranger) || isLivePeerOf(two, stranger) || isLivePeerOf(stranger, one))

	pool := x509.NewCertPool()
	pool.AddCert(own.cert)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	for _, address := range []string{one.settings.Callers.Listen, one.settings.Administration.Listen} {
		response, err := client.Get("https://" + address + "/livez")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
		plain, err := http.Get("http://" + address + "/livez")
		require.NoError(t, err)
		require.NoError(t, plain.Body.Close())
		require.Equal(t, http.StatusBadRequest, plain.StatusCode)
	}
}

func TestNewRefusesUnusableFiles(t *testing.T) {
	tests := map[string]func(*settings.Settings){
		"certificate": func(s *settings.Settings) { s.TLS.CertificateFile, s.TLS.KeyFile = "missing", "missing" },
		"authority": func(s *settings.Settings) {
			s.TLS = newAuthority(t).issue()
			s.TLS.AuthorityFile = s.TLS.KeyFile
		},
		"operator tokens": func(s *settings.Settings) { s.OperatorTokensFile = "missing" },
		"routing policy":  func(s *settings.Settings) { s.Routing.Policy = "dice" },
	}
	for name, corrupt := range tests {
		t.Run(name, func(t *testing.T) {
			set := testSettings(t, "entry-1", "http://127.0.0.1:1")
			corrupt(&set)
			_, err := New(set, NewPlatform(set), logrus.New())
			require.Error(t, err)
		})
	}
}

func TestOversizedHeaderAndDrain(t *testing.T) {
	d := startDaemon(t, testSettings(t, "entry-1", startUnavailablePlatform(t)))
	base := "http://" + d.settings.Callers.Listen
	require.Eventually(t, func() bool {
		response, err := http.Get(base + "/livez")
		return err == nil && response.Body.Close() == nil
	}, 10*time.Second, 20*time.Millisecond)

	request, err := http.NewRequest(http.MethodGet, base+"/desk-app/x", nil)
	require.NoError(t, err)
	request.Header.Set("X-Large", valueOfLength(d.settings.Limits.HeaderBytes))
	requireProblem(t, request, problem.HeaderTooLarge)

	ready, err := http.NewRequest(http.MethodGet, base+"/readyz", nil)
	require.NoError(t, err)
	requireProblem(t, ready, problem.NotReady)
	operators := &administeredNode{d}
	require.NoError(t, operators.Drain(context.Background(), ""))
	requireProblem(t, ready, problem.Leaving)
	require.True(t, operators.Status().Draining)
	require.NoError(t, operators.Undrain(context.Background(), ""))
	requireProblem(t, ready, problem.NotReady)
	require.Error(t, operators.Drain(context.Background(), "no-such-server"))
}

func valueOfLength(bytes int) string {
	value := make([]byte, bytes)
	for i := range value {
		value[i] = 'x'
	}
	return string(value)
}

func requireProblem(t *testing.T, request *http.Request, kind problem.Kind) {
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var document problem.Document
	require.NoError(t, json.NewDecoder(response.Body).Decode(&document))
	require.Equal(t, kind, document.Kind)
}

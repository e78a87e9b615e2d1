package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/connection/administration"
	"papayaport.dev/serving/connection/inbound"
	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/process/settings"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// headerSlackFactor is the factor by which request headers may exceed the limit and still be
	// answered with a problem document; above it net/http responds 431 itself.
	headerSlackFactor = 4
	// maxOperatorConnections limits the concurrent connections of operators.
	maxOperatorConnections = 64
	// callerConnectionsDivisor and peerConnectionsDivisor are the divisors of the descriptors that callers
	// and peers may use. The rest is for backend servers, the store and other instances.
	callerConnectionsDivisor, peerConnectionsDivisor = 2, 8
)

func loadTLS(set settings.TLS) (*tls.Config, error) {
	if !set.Enabled() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(set.CertificateFile, set.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load TLS certificate")
	}
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	if set.AuthorityFile == "" {
		return config, nil
	}
	data, err := os.ReadFile(set.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read TLS authority")
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s holds no certificate", set.AuthorityFile)
	}
	return config, nil
}

func loadTokens(file string) (administration.Tokens, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read operator tokens")
	}
	return administration.ParseTokens(file, data)
}

// peerServerTLS returns the TLS configuration of the peer listener, which requires client
// certificates of the configured authority.
func (d *Daemon) peerServerTLS() *tls.Config {
	if d.tls == nil || d.tls.RootCAs == nil {
		return d.tls
	}
	config := d.tls.Clone()
	config.ClientCAs = d.tls.RootCAs
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config
}

// servers are the HTTP servers of the process.
type servers struct{ callers, administration *http.Server }

// listen opens the listeners for callers, operators and peers and starts serving them.
func (d *Daemon) listen(ctx context.Context, group *errgroup.Group) (*servers, error) {
	callers, err := d.connections.Open(d.settings.Callers.Listen, inbound.Options{Connections: d.maxCallers(), TLS: httpTLS(d.tls)})
	if err != nil {
		return nil, err
	}
	operators, err := d.connections.Open(d.settings.Administration.Listen, inbound.Options{
		Connections: maxOperatorConnections, WriteTimeout: d.settings.Limits.WriteTimeout(), TLS: httpTLS(d.tls),
	})
	if err != nil {
		return nil, err
	}
	options := d.peerOptions()
	options.TLS = nil // the listener has it
	options.Connections = min(options.Connections, inbound.Descriptors(0)/peerConnectionsDivisor)
	peers, err := d.connections.Open(d.settings.Peers.Listen, inbound.Options{
		Connections: options.Connections, TLS: d.peerServerTLS(), Messages: true,
	})
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	group.Go(func() error { return ignoreAfterEnd(ctx, peer.Serve(ctx, peers, &handler{d}, options)) })
	s := &servers{callers: d.server(d.limitHeaders(d.gateway)), administration: d.server(d.administration())}
	d.connections.Attach(s.callers, inbound.Handling{BodyTimeout: d.settings.Limits.BodyTimeout()})
	d.connections.Attach(s.administration, inbound.Handling{BodyTimeout: d.settings.Limits.BodyTimeout(), CountBodies: true, AllOrdinary: true})
	group.Go(func() error { return ignoreClosed(s.callers.Serve(callers)) })
	group.Go(func() error { return ignoreClosed(s.administration.Serve(operators)) })
	return s, nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// maxCallers returns the limit of callers' connections. A part of the memory for requests is left for the
// requests on them.
func (d *Daemon) maxCallers() int {
	byMemory := int(d.requestMemory() / inbound.ConnectionBytes * 3 / 4)
	return min(d.settings.Limits.Connections, inbound.Descriptors(0)/callerConnectionsDivisor, byMemory)
}

// httpTLS returns a configuration for HTTP/1.1, nil without TLS.
func httpTLS(config *tls.Config) *tls.Config {
	if config == nil {
		return nil
	}
	config = config.Clone()
	config.NextProtos = []string{"http/1.1"}
	return config
}

func (d *Daemon) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerSlackFactor * d.settings.Limits.HeaderBytes,
		ErrorLog:       discardLog,
	}
}

func (d *Daemon) administration() http.Handler {
	hooks := administration.Hooks{Metrics: d.writeMetrics, Ready: d.ready}
	return administration.New(&administeredNode{d}, d.tokens, hooks, d.logEntry("administration"))
}

func (d *Daemon) writeMetrics(w io.Writer) {
	d.meters.WritePrometheus(w)
	writeProcessMetrics(w)
}

// limitHeaders refuses requests whose headers and path exceed the limit.
func (d *Daemon) limitHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := len(r.RequestURI)
		for name, values := range r.Header {
			for _, value := range values {
				size += len(name) + len(value)
			}
		}
		if size > d.settings.Limits.HeaderBytes {
			problem.Write(w, problem.New(problem.HeaderTooLarge, "headers and path are over %d bytes", d.settings.Limits.HeaderBytes), "")
			return
		}
		next.ServeHTTP(w, r)
	})
}

package cloud

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/engine/listener"
	"papayaport.dev/standin/httpjson"
	"papayaport.dev/standin/plain"
)

// Template tells what a started instance runs: one of the two.
type Template struct {
	Engine *engine.Config `json:"engine,omitempty"`
	Plain  *plain.Config  `json:"plain,omitempty"`
}

// runner is a stand-in that lives until its context ends or it is reclaimed.
type runner interface {
	http.Handler
	Run(ctx context.Context) error
}

func (t Template) build(id string, incarnation uint64, client *http.Client) (runner, error) {
	switch {
	case t.Engine != nil:
		cfg := *t.Engine
		cfg.Instance, cfg.Incarnation = id, incarnation
		return listener.New(cfg, client), nil
	case t.Plain != nil:
		cfg := *t.Plain
		cfg.Instance, cfg.Incarnation = id, incarnation
		return plain.New(cfg), nil
	}
	return nil, errors.New("template is empty")
}

// hosts holds the started instances of this process.
type hosts struct {
	client *http.Client
	mu     *sync.Mutex
	cancel map[string]context.CancelFunc
}

func newHosts(client *http.Client) hosts {
	return hosts{client: client, mu: &sync.Mutex{}, cancel: map[string]context.CancelFunc{}}
}

// start runs a template on a free port and returns its address and incarnation.
func (h hosts) start(id string, template Template) (string, uint64, error) {
	incarnation := uint64(time.Now().UnixNano())
	run, err := template.build(id, incarnation, h.client)
	if err != nil {
		return "", 0, err
	}
	open, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", 0, errors.Wrap(err, "listening")
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.cancel[id] = cancel
	h.mu.Unlock()
	go func() {
		defer cancel()
		_ = run.Run(ctx)
	}()
	go func() { _ = httpjson.ServeOn(ctx, open, run) }()
	return open.Addr().String(), incarnation, nil
}

func (h hosts) close(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel := h.cancel[id]; cancel != nil {
		cancel()
		delete(h.cancel, id)
	}
}

func (h hosts) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, cancel := range h.cancel {
		cancel()
	}
}

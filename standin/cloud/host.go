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

// Template is the configuration of a started instance; exactly one of its fields is set.
type Template struct {
	Engine *engine.Config `json:"engine,omitempty"`
	Plain  *plain.Config  `json:"plain,omitempty"`
}

// runner is a backend server that runs until its context ends or it is reclaimed.
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

// hosts holds the cancel functions of the instances started in this process.
type hosts struct {
	client *http.Client
	mu     *sync.Mutex
	cancel map[string]context.CancelFunc
}

func newHosts(client *http.Client) hosts {
	return hosts{client: client, mu: &sync.Mutex{}, cancel: map[string]context.CancelFunc{}}
}

// start starts an instance on a free port and returns its address as IP:PORT and its incarnation.
func (h hosts) start(id string, template Template) (string, uint64, error) {
	incarnation := uint64(time.Now().UnixNano())
	instance, err := template.build(id, incarnation, h.client)
	if err != nil {
		return "", 0, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", 0, errors.Wrap(err, "listening")
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.cancel[id] = cancel
	h.mu.Unlock()
	go func() {
		defer cancel()
		_ = instance.Run(ctx)
	}()
	go func() { _ = httpjson.ServeOn(ctx, listener, instance) }()
	return listener.Addr().String(), incarnation, nil
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

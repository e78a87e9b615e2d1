package listener

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/platform/exchange"
	"papayaport.dev/serving/process/platform/weight"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/httpjson"
)

// transferPath is where engines fetch exports from each other.
const transferPath = "/v1/kv/transfer"

// busyWait is the wait before weights are asked for again.
const busyWait = 100 * time.Millisecond

func (l *Listener) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	snapshot := r.URL.Query().Get("snapshot") == "true"
	l.mu.Lock()
	defer l.mu.Unlock()
	httpjson.Write(w, http.StatusOK, l.model.Events(time.Now(), after, snapshot))
}

func (l *Listener) load(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	httpjson.Write(w, http.StatusOK, l.model.Load(time.Now()))
}

func (l *Listener) runs(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	httpjson.Write(w, http.StatusOK, l.model.Runs())
}

func (l *Listener) export(w http.ResponseWriter, r *http.Request) {
	var in wire.Export
	if !httpjson.Read(w, r, &in) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	exported, err := l.model.Export(in)
	if err != nil {
		fail(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, exported)
}

// transfer answers an export after the time that its bytes take.
func (l *Listener) transfer(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	content, err := l.model.Transfer(r.PathValue("handle"))
	l.mu.Unlock()
	if err != nil {
		fail(w, err)
		return
	}
	seconds := float64(content.Bytes) / l.cfg.KVBytesPerSecond
	if !sleep(r.Context(), time.Duration(seconds*float64(time.Second))) {
		httpjson.Abort()
	}
	httpjson.Write(w, http.StatusOK, content)
}

func (l *Listener) importKV(w http.ResponseWriter, r *http.Request) {
	var in wire.Import
	if !httpjson.Read(w, r, &in) {
		return
	}
	var content engine.Transfer
	target := in.From + transferPath + "/" + url.PathEscape(in.Handle)
	got, err := exchange.Do(r.Context(), l.client, http.MethodGet, target, nil, &content)
	if err == nil && got.Status != http.StatusOK {
		err = errors.Errorf("%s answered status %d", in.From, got.Status)
	}
	if err != nil {
		fail(w, errors.Wrap(err, "fetching KV cache"))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	httpjson.Write(w, http.StatusOK, l.model.Take(content))
}

func (l *Listener) order(w http.ResponseWriter, r *http.Request) {
	var in wire.Order
	if !httpjson.Read(w, r, &in) {
		return
	}
	err := l.check(in)
	if err == nil && in.Kind == wire.LoadModel {
		err = l.fetch(r.Context(), in.Model)
	}
	if err == nil {
		err = l.apply(in)
	}
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *Listener) check(order wire.Order) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.Check(order)
}

func (l *Listener) apply(order wire.Order) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.Apply(order)
}

// fetch pulls weights, coming back while the weight store is over its rate.
func (l *Listener) fetch(ctx context.Context, model string) error {
	if l.cfg.Weights == "" {
		return nil
	}
	weights := weight.New(l.client, l.cfg.Weights)
	for {
		err := weights.Fetch(ctx, model, 0)
		if !errors.Is(err, weight.ErrBusy) {
			return err
		}
		if !sleep(ctx, busyWait) {
			return errors.Wrap(ctx.Err(), "waiting for the weight store")
		}
	}
}

// sleep returns false when ctx ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

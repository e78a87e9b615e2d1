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

// transferPath is the path from which engines fetch each other's exports.
const transferPath = "/v1/kv/transfer"

// busyRetryDelay is the delay before a weight request is retried after "busy".
const busyRetryDelay = 100 * time.Millisecond

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
		refuse(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, exported)
}

// transfer sends the content of an export after its simulated transfer time.
func (l *Listener) transfer(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	content, err := l.model.Transfer(r.PathValue("handle"))
	l.mu.Unlock()
	if err != nil {
		refuse(w, err)
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
		refuse(w, errors.Wrap(err, "fetching KV cache"))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	httpjson.Write(w, http.StatusOK, l.model.ImportTransfer(content))
}

func (l *Listener) order(w http.ResponseWriter, r *http.Request) {
	var in wire.Order
	if !httpjson.Read(w, r, &in) {
		return
	}
	err := l.checkOrder(in)
	if err == nil && in.Kind == wire.LoadModel {
		err = l.fetchWeights(r.Context(), in.Model)
	}
	if err == nil {
		err = l.executeOrder(in)
	}
	if err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *Listener) checkOrder(order wire.Order) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.CheckOrder(order)
}

func (l *Listener) executeOrder(order wire.Order) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.ExecuteOrder(order)
}

// fetchWeights fetches a model's weights, and retries while the weight store is over its rate.
func (l *Listener) fetchWeights(ctx context.Context, model string) error {
	if l.cfg.Weights == "" {
		return nil
	}
	weights := weight.New(l.client, l.cfg.Weights)
	for {
		err := weights.Fetch(ctx, model, 0)
		if !errors.Is(err, weight.ErrBusy) {
			return err
		}
		if !sleep(ctx, busyRetryDelay) {
			return errors.Wrap(ctx.Err(), "waiting for the weight store")
		}
	}
}

// sleep returns false if ctx ends first.
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

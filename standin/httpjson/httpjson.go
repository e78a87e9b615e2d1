// Package httpjson holds HTTP helpers of the stand-ins: reading and writing of JSON bodies, and a
// server that runs until a context ends.
//
// # Usage
//
//	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) {
//		var faults Faults
//		if !httpjson.Read(w, r, &faults) {
//			return
//		}
//		httpjson.Write(w, http.StatusOK, faults)
//	})
//	err := httpjson.Serve(ctx, "127.0.0.1:8000", mux)
package httpjson

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// MaxBodyBytes is the maximum size of a request body in bytes.
const MaxBodyBytes = 8 << 20

// headerTimeout is the timeout for reading a request's header.
const headerTimeout = 10 * time.Second

// Failure is the body of an error answer.
type Failure struct {
	Error string `json:"error"`
}

// Read decodes a JSON body without unknown fields. If that fails, it answers with status 400 and
// returns false.
func Read(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		Fail(w, http.StatusBadRequest, "invalid request body: "+err.Error())
		return false
	}
	return true
}

// Write sends an answer with a JSON body.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Fail sends an answer with a Failure.
func Fail(w http.ResponseWriter, status int, reason string) {
	Write(w, status, Failure{Error: reason})
}

// Abort closes the connection of the current request without an answer. It panics with
// http.ErrAbortHandler.
func Abort() { panic(http.ErrAbortHandler) }

// Serve serves handler on a TCP address until ctx ends, and then closes all connections.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	return ServeOn(ctx, listener, handler)
}

// ServeOn serves handler as Serve does, on an open listener.
func ServeOn(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving")
}

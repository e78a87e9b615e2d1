package administration

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/publication"
)

const (
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes = 16 << 20
	// defaultHistory is the default number of versions in a history answer.
	defaultHistory = 20
	// requestIDHeader carries the request id for problem documents.
	requestIDHeader = "X-Request-Id"
)

// handler serves the API of one node.
type handler struct {
	node   Node
	tokens Tokens
	hooks  Hooks
	log    logrus.FieldLogger
}

// action executes one request of an operator and returns the answer's value or an error.
type action func(r *http.Request, operator string) (any, error)

// New returns the handler of the administration listener.
func New(node Node, tokens Tokens, hooks Hooks, log logrus.FieldLogger) http.Handler {
	h := &handler{node: node, tokens: tokens, hooks: hooks, log: log}
	mux := http.NewServeMux()
	for pattern, run := range h.actions() {
		mux.Handle(pattern, h.authenticated(run))
	}
	mux.HandleFunc("GET "+MetricsPath, h.metrics)
	mux.HandleFunc("GET "+LivePath, healthEndpoint(hooks.Live))
	mux.HandleFunc("GET "+ReadyPath, healthEndpoint(hooks.Ready))
	mux.Handle(DebugPath, h.requireOperator(newDebugHandler()))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuse(w, r, problem.New(problem.UnknownRoute, "the administration API has no %s %s", r.Method, r.URL.Path))
	})
	return mux
}

func (h *handler) actions() map[string]action {
	return map[string]action{
		"POST " + PublicationsPath:          h.publish,
		"GET " + PublicationsPath + "/{id}": h.publication,
		"GET " + VersionsPath:               h.history,
		"GET " + CurrentPath:                h.current,
		"GET " + StatusPath:                 h.status,
		"GET " + ServicesPath:               h.services,
		"GET " + AccountsPath:               h.accounts,
		"GET " + InstancesPath:              h.instances,
		"POST " + DrainPath:                 h.drain,
		"POST " + UndrainPath:               h.undrain,
	}
}

func newDebugHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(DebugPath, pprof.Index)
	mux.HandleFunc(DebugPath+"cmdline", pprof.Cmdline)
	mux.HandleFunc(DebugPath+"profile", pprof.Profile)
	mux.HandleFunc(DebugPath+"symbol", pprof.Symbol)
	mux.HandleFunc(DebugPath+"trace", pprof.Trace)
	return mux
}

// operator authenticates a request and returns the name of the operator.
func (h *handler) operator(r *http.Request) (string, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", problem.New(problem.Unauthenticated, "an operator token is required as bearer token")
	}
	name, ok := h.tokens.Authenticate(strings.TrimSpace(token))
	if !ok {
		return "", problem.New(problem.Unauthenticated, "unknown operator token")
	}
	return name, nil
}

func (h *handler) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := h.operator(r); err != nil {
			refuse(w, r, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) authenticated(run action) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, err := h.operator(r)
		if err != nil {
			refuse(w, r, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		answer, err := run(r, operator)
		if err != nil {
			h.log.WithError(err).WithFields(logrus.Fields{"operator": operator, "path": r.URL.Path}).Info("administration: request refused")
			refuse(w, r, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	})
}

// refusal is an error with the result of a refused publication.
type refusal struct {
	cause  error
	result publication.Result
}

func (r *refusal) Error() string { return r.cause.Error() }
func (r *refusal) Unwrap() error { return r.cause }

// refuse responds with a Refusal.
func refuse(w http.ResponseWriter, r *http.Request, err error) {
	id := r.Header.Get(requestIDHeader)
	if id == "" {
		id = uuid.NewString()
	}
	document := Refusal{Document: problem.From(err).Document(id)}
	var details *refusal
	if errors.As(err, &details) {
		document.Faults = details.result.Faults
		if document.Kind == problem.VersionConflict {
			document.Winner = &details.result.Head
		}
	}
	header := w.Header()
	header.Set("Content-Type", problem.MediaType)
	if document.RetryAfterMS > 0 {
		header.Set("Retry-After", strconv.FormatInt((document.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(document.Status)
	_ = json.NewEncoder(w).Encode(document)
}

// readBody decodes the JSON body of a request and rejects unknown fields.
func readBody(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return problem.New(problem.BodyTooLarge, "at most %d bytes are allowed", large.Limit)
	}
	if err != nil {
		return problem.New(problem.BadRequest, "body: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return problem.New(problem.BadRequest, "body: more text after the JSON object")
	}
	return nil
}

func (h *handler) publish(r *http.Request, operator string) (any, error) {
	var request publication.Request
	if err := readBody(r, &request); err != nil {
		return nil, err
	}
	if err := checkRequest(&request); err != nil {
		return nil, err
	}
	request.Operator = operator
	result, err := h.node.Publish(r.Context(), request)
	return publicationAnswer(result, err)
}

// maxNoteBytes is the maximum length of a publication's note in bytes.
const maxNoteBytes = 1000

func checkRequest(request *publication.Request) error {
	if _, err := request.ID.Version(); err != nil {
		return problem.New(problem.BadRequest, "%v", err)
	}
	if len(request.Note) > maxNoteBytes {
		return problem.New(problem.BadRequest, "the note has %d bytes, at most %d are allowed", len(request.Note), maxNoteBytes)
	}
	changesFiles := len(request.Files) > 0 || len(request.Remove) > 0 || request.Replace
	if changesFiles == (request.RollbackOf > 0) {
		return problem.New(problem.BadRequest, "either files or a version to roll back to are needed")
	}
	return nil
}

func publicationAnswer(result publication.Result, err error) (any, error) {
	if err != nil {
		return nil, &refusal{err, result}
	}
	return result, nil
}

func (h *handler) publication(r *http.Request, _ string) (any, error) {
	id := publication.ID(r.PathValue("id"))
	if _, err := id.Version(); err != nil {
		return nil, problem.New(problem.BadRequest, "%v", err)
	}
	result, err := h.node.Publication(r.Context(), id)
	return publicationAnswer(result, err)
}

func (h *handler) history(r *http.Request, _ string) (any, error) {
	before, err := queryNumber(r, "before", 0)
	if err != nil {
		return nil, err
	}
	limit, err := queryNumber(r, "limit", defaultHistory)
	if err != nil {
		return nil, err
	}
	versions, err := h.node.History(r.Context(), before, int(min(limit, publication.MaxHistory)))
	if err != nil {
		return nil, err
	}
	return History{Versions: append([]publication.Head{}, versions...)}, nil
}

func queryNumber(r *http.Request, name string, usual uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return usual, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, problem.New(problem.BadRequest, "%s is %q, a whole number is allowed", name, text)
	}
	return value, nil
}

func (h *handler) current(*http.Request, string) (any, error) {
	version := h.node.Current()
	if version == nil {
		return Current{Files: map[string][]byte{}}, nil
	}
	current := Current{Head: version.Head, Files: map[string][]byte{}}
	for name := range version.Files {
		if data, ok := version.File(name); ok {
			current.Files[name] = data
		}
	}
	return current, nil
}

func (h *handler) status(*http.Request, string) (any, error) { return h.node.Status(), nil }

func (h *handler) services(*http.Request, string) (any, error) {
	return Services{append([]Service{}, h.node.Services()...)}, nil
}

func (h *handler) accounts(*http.Request, string) (any, error) {
	return Accounts{append([]Account{}, h.node.Accounts()...)}, nil
}

func (h *handler) instances(*http.Request, string) (any, error) {
	return Instances{append([]Instance{}, h.node.Instances()...)}, nil
}

func (h *handler) drain(r *http.Request, operator string) (any, error) {
	var target Target
	if err := readBody(r, &target); err != nil {
		return nil, err
	}
	if err := h.node.Drain(r.Context(), target.Instance); err != nil {
		return nil, err
	}
	h.log.WithFields(logrus.Fields{"operator": operator, "instance": target.Instance}).Info("administration: drain ordered")
	return h.node.Status(), nil
}

func (h *handler) undrain(r *http.Request, operator string) (any, error) {
	var target Target
	if err := readBody(r, &target); err != nil {
		return nil, err
	}
	if err := h.node.Undrain(r.Context(), target.Instance); err != nil {
		return nil, err
	}
	h.log.WithFields(logrus.Fields{"operator": operator, "instance": target.Instance}).Info("administration: drain reverted")
	return h.node.Status(), nil
}

func (h *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if h.hooks.Metrics != nil {
		h.hooks.Metrics(w)
	}
}

// healthEndpoint returns a health endpoint that responds 200, or 503 with the error of hook.
func healthEndpoint(hook func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if hook != nil {
			if err := hook(); err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, err.Error()+"\n")
				return
			}
		}
		_, _ = io.WriteString(w, "ok\n")
	}
}

package amrplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
)

// NewHandler returns a handler that serves the services over HTTP to Client.
//
// When the outcome of a write is unknown, the handler closes the connection
// without a response, so that the client cannot know the outcome either.
func NewHandler(table Table, objects ObjectStore, hosts HostList) http.Handler {
	h := &handler{table: table, objects: objects, hosts: hosts}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathItem, h.getItem)
	mux.HandleFunc("GET "+pathItems, h.scan)
	mux.HandleFunc("POST "+pathTransactions, h.commit)
	mux.HandleFunc("GET "+pathObject, h.getObject)
	mux.HandleFunc("PUT "+pathObject, h.putObject)
	mux.HandleFunc("DELETE "+pathObject, h.deleteObject)
	mux.HandleFunc("GET "+pathObjectKeys, h.listObjects)
	mux.HandleFunc("GET "+pathHosts, h.listHosts)
	return mux
}

type handler struct {
	table   Table
	objects ObjectStore
	hosts   HostList
}

func (h *handler) getItem(w http.ResponseWriter, r *http.Request) {
	item, err := h.table.Get(r.Context(), r.FormValue("key"))
	respond(w, wireItem(item), err)
}

func (h *handler) scan(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	items, err := h.table.Scan(r.Context(), r.FormValue("prefix"), r.FormValue("after"), limit)
	wire := make([]wireItem, 0, len(items))
	for _, item := range items {
		wire = append(wire, wireItem(item))
	}
	respond(w, wire, err)
}

func (h *handler) commit(w http.ResponseWriter, r *http.Request) {
	var txn wireTxn
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&txn); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	respondWrite(w, h.table.Commit(r.Context(), txn.txn()))
}

func (h *handler) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := h.objects.GetObject(r.Context(), r.FormValue("key"))
	if err != nil {
		writeFailure(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data) // The client may have closed the connection.
}

func (h *handler) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	respondWrite(w, h.objects.PutObject(r.Context(), r.URL.Query().Get("key"), data))
}

func (h *handler) deleteObject(w http.ResponseWriter, r *http.Request) {
	respondWrite(w, h.objects.DeleteObject(r.Context(), r.URL.Query().Get("key")))
}

func (h *handler) listObjects(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	keys, err := h.objects.ListObjects(r.Context(), r.FormValue("prefix"), r.FormValue("after"), limit)
	if keys == nil {
		keys = []string{}
	}
	respond(w, keys, err)
}

func (h *handler) listHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := h.hosts.Hosts(r.Context())
	wire := make([]wireHost, 0, len(hosts))
	for _, host := range hosts {
		wire = append(wire, wireHost(host))
	}
	respond(w, wire, err)
}

// respond sends v in JSON, or the error if it is not nil.
func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeFailure(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The client may have closed the connection.
}

// respondWrite sends the result of a write, a response without content or an
// error.
func respondWrite(w http.ResponseWriter, err error) {
	if err != nil {
		writeFailure(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeFailure sends an error of a service with the status for its kind. For an
// error of any other kind, such as OutcomeUnknown, it closes the connection.
func writeFailure(w http.ResponseWriter, err error) {
	switch {
	case errorx.IsOfType(err, NotFound):
		writeError(w, http.StatusNotFound, err)
	case errorx.IsOfType(err, Conflict):
		writeError(w, http.StatusConflict, err)
	case errorx.IsOfType(err, Unavailable):
		writeError(w, http.StatusServiceUnavailable, err)
	default:
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
}

// writeError sends an error message in JSON.
func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireError{Message: err.Error()}) // The client may have closed the connection.
}

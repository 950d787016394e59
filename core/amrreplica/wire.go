package amrreplica

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrhttp"
)

// PathPrefix is the path prefix under which routers serve their copies of tables,
// followed by the name of the table.
const PathPrefix = "/v1/tables/"

// Query parameters of a request for a copy.
const (
	// paramLastKnown asks a router for its copy even if the router cannot reach
	// the table.
	paramLastKnown = "last-known"

	// paramAfter asks for the changes after a version of the era in paramEra. The
	// router may hold the request for the milliseconds in paramWait.
	paramAfter = "after"
	paramEra   = "era"
	paramWait  = "wait-ms"
)

// headerState is the response header with the copyState as JSON. The body is a JSON array
// of the rows, so that the same body serves several requests.
const headerState = "Copy-State"

// copyState describes the copy of a table from which a router returns rows.
type copyState struct {
	Connected bool   `json:"in-touch"`
	Era       uint64 `json:"era,omitempty"`
	Version   uint64 `json:"version"`
	NowMS     int64  `json:"now-ms"`           // Time of the table's clock.
	AgeMS     int64  `json:"age-ms,omitempty"` // Time since the table itself responded.
	Keys      uint64 `json:"keys,omitempty"`   // Digest of the keys of all rows if the rows may lack deletions.
}

// rowWire is a row in the body of a response.
type rowWire struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowsWire returns the rows in the form of a response.
func rowsWire(rows []amrfollow.Row) []rowWire {
	out := make([]rowWire, 0, len(rows))
	for _, row := range rows {
		out = append(out, rowWire{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	return out
}

// maxCopyBytes is the maximum length of the body of a response.
const maxCopyBytes = 64 << 20

// response is the decoded response of another router.
type response struct {
	connected bool // Whether that router is in touch with the table.
	batch     amrfollow.Batch
}

// readResponse decodes a response.
func readResponse(r *http.Response) (response, error) {
	var state copyState
	if err := json.Unmarshal([]byte(r.Header.Get(headerState)), &state); err != nil {
		return response{}, err
	}
	var rows []rowWire
	if err := amrhttp.DecodeJSON(r.Body, maxCopyBytes, &rows); err != nil {
		return response{}, err
	}
	batch := amrfollow.Batch{
		Position: amrfollow.Position{Era: state.Era, Version: state.Version},
		Now:      time.Duration(state.NowMS) * time.Millisecond,
		Age:      time.Duration(state.AgeMS) * time.Millisecond,
		Keys:     amrfollow.KeysDigest(state.Keys),
	}
	for _, row := range rows {
		batch.Rows = append(batch.Rows, amrfollow.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	return response{connected: state.Connected, batch: batch}, nil
}

// writeState sets the headers of a response with rows.
func writeState(w http.ResponseWriter, state copyState) {
	text, err := json.Marshal(state)
	if err != nil {
		panic(err) // Numbers can always be encoded.
	}
	w.Header().Set(headerState, string(text))
	w.Header().Set("Content-Type", "application/json")
}

// writeCompressed writes the compressed body of a response.
func writeCompressed(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(data) // The other router detects a truncated body.
}

// changesQuery holds the parameters of a request for changes.
type changesQuery struct {
	after amrfollow.Position
	wait  time.Duration
}

// encode returns the query string.
func (q changesQuery) encode() string {
	return url.Values{
		paramAfter: {strconv.FormatUint(q.after.Version, 10)},
		paramEra:   {strconv.FormatUint(q.after.Era, 10)},
		paramWait:  {strconv.FormatInt(q.wait.Milliseconds(), 10)},
	}.Encode()
}

// parseChangesQuery parses the query string of a request for changes. It returns an
// error if a parameter is missing or not a number.
func parseChangesQuery(values url.Values) (changesQuery, error) {
	version, err := strconv.ParseUint(values.Get(paramAfter), 10, 64)
	if err != nil {
		return changesQuery{}, err
	}
	era, err := strconv.ParseUint(values.Get(paramEra), 10, 64)
	if err != nil {
		return changesQuery{}, err
	}
	wait, err := strconv.ParseInt(values.Get(paramWait), 10, 32)
	if err != nil {
		return changesQuery{}, err
	}
	return changesQuery{after: amrfollow.Position{Era: era, Version: version}, wait: time.Duration(wait) * time.Millisecond}, nil
}

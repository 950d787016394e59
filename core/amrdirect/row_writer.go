package amrdirect

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthreach.example/core/amrplatform"
)

// Results of writes of rows, as a label of their metrics.
const (
	rowWritten  = "written"
	rowConflict = "conflict" // Another router was faster.
	rowFailed   = "failed"
)

// rowWriter writes rows of one kind to the shared table, counts the results and logs them.
type rowWriter struct {
	router *Router
	kind   string // Of the rows, for the log.
	writes *prometheus.CounterVec
}

// newRowWriter returns a writer that counts the results in the metric with the given name and
// help text.
func newRowWriter(r *Router, kind, metric, help string) *rowWriter {
	writes := prometheus.NewCounterVec(prometheus.CounterOpts{Name: metric, Help: help}, []string{"result"})
	for _, result := range []string{rowWritten, rowConflict, rowFailed} {
		writes.WithLabelValues(result) // Served from the start.
	}
	if r.registry != nil {
		r.registry.MustRegister(writes)
	}
	return &rowWriter{router: r, kind: kind, writes: writes}
}

// write applies the transaction, and reports whether it was applied. It does nothing for an
// empty one. A failed write is tried again when the rows are next compared.
func (w *rowWriter) write(ctx context.Context, txn amrplatform.Txn) bool {
	if len(txn.Checks) == 0 {
		return false
	}
	r := w.router
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.deps.Rows.Write(ctx, txn)
	switch {
	case err == nil:
		w.writes.WithLabelValues(rowWritten).Inc()
		for _, put := range txn.Puts {
			r.log.Info("row written", "kind", w.kind, "row", put.Key, "value", string(put.Value))
		}
		for _, key := range txn.Deletes {
			r.log.Info("row deleted", "kind", w.kind, "row", key)
		}
	case errorx.IsOfType(err, amrplatform.Conflict):
		w.writes.WithLabelValues(rowConflict).Inc()
	default:
		w.writes.WithLabelValues(rowFailed).Inc()
		r.log.Warn("cannot write rows; retrying", "kind", w.kind, "puts", len(txn.Puts), "deletes", len(txn.Deletes), "err", err)
	}
	return err == nil
}

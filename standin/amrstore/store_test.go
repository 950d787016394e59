package amrstore_test

import (
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/standin/amrstore"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestLostAnswer checks that the server closes the connection when the response of a
// write is lost: the client then reports an unknown outcome and does not repeat the
// write.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	platform := amrmemory.New()
	server := httptest.NewServer(amrstore.New(platform).Handler())
	defer server.Close()
	client := amrplatform.NewClient(server.URL)
	defer client.CloseIdleConnections()

	platform.SetFaults(amrmemory.Faults{LoseNextAnswers: 1})
	put := amrplatform.Txn{Puts: []amrplatform.Put{{Key: "a", Value: []byte("1")}}}
	err := client.Commit(t.Context(), put)
	is.True(errorx.IsOfType(err, amrplatform.OutcomeUnknown))

	item, err := client.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(item.Version, uint64(1)) // The client did not send the write again.
}

package amrload

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/standin/amrengine"
)

// TestLoad sends a load to an engine and to a server that refuses all requests, and
// checks the numbers of complete and failed requests.
func TestLoad(t *testing.T) {
	is := is.New(t)
	engine := amrengine.New(amrengine.WithPrefillRate(fastPrefill), amrengine.WithDecodeStep(fastDecode))
	target := httptest.NewServer(engine.Handler())
	defer target.Close()
	refusing := httptest.NewServer(http.NotFoundHandler())
	defer refusing.Close()
	load := Load{URLs: []string{target.URL, refusing.URL}, Rate: 200, Duration: 250 * time.Millisecond, PromptTokens: 100, OutputTokens: 3}
	result, err := load.Run(t.Context())
	is.NoErr(err)
	is.True(result.Sent > 20 && result.Sent < 100) // The mean number is 50.
	is.Equal(result.Answered, len(engine.Runs()))
	is.Equal(result.Failed, map[string]int{"404 Not Found": result.Sent - result.Answered})
	is.Equal(result.Total.Count(), result.Answered)
	is.True(result.Total.Percentile(50) >= 2*fastDecode)
}

// TestCompare checks that all requests are answered, both by the engines directly
// and through the routers.
func TestCompare(t *testing.T) {
	is := is.New(t)
	load := Load{Duration: 200 * time.Millisecond, PromptTokens: 100, OutputTokens: 3}
	comparisons, err := Compare(t.Context(), load, []float64{100}, 2, 2)
	is.NoErr(err)
	is.Equal(len(comparisons), 1)
	c := comparisons[0]
	is.True(c.Direct.Sent > 0)
	is.Equal(c.Direct.Answered, c.Direct.Sent)
	is.Equal(c.Routed.Answered, c.Routed.Sent)
}

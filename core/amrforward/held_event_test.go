package amrforward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrbytes"
	"amaranthreach.example/core/amrforward"
)

// cutEventBackend is a backend whose first answer breaks off in a large event. It records
// the bytes that are held when another server goes on with the stream.
type cutEventBackend struct {
	account *amrbytes.Account
	sends   int
	held    int64
}

func (b *cutEventBackend) Send(_ context.Context, a amrforward.Attempt) (*amrforward.Answer, error) {
	if _, err := a.BeforeSend(); err != nil {
		return nil, err
	}
	b.sends++
	answer := &amrforward.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1}
	if b.sends == 1 {
		answer.Body = cutBody{strings.NewReader("id: 1\ndata: x\n\nid: 2\ndata: " + strings.Repeat("x", 100<<10))}
		return answer, nil
	}
	b.held = b.account.Stats().Held
	answer.Body = io.NopCloser(strings.NewReader("id: 2\ndata: x\n\n"))
	return answer, nil
}

// cutBody is a body that ends early.
type cutBody struct{ io.Reader }

func (b cutBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b cutBody) Close() error { return nil }

// TestIncompleteEventIsReleased guards against an event that counts as held after the
// answer that it was part of has broken off.
func TestIncompleteEventIsReleased(t *testing.T) {
	is := is.New(t)
	b := &cutEventBackend{account: amrbytes.New(16 << 20)}
	forward := newEventSite(b, amrforward.WithHeldBytes(b.account))
	hold := forward.Hold(0, func() {})
	defer hold.Close()
	w := httptest.NewRecorder()
	request := streamRequest()
	request.Held = hold
	forward.Serve(t.Context(), w, request)
	is.Equal(w.Body.String(), "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
	is.Equal(b.held, int64(amrbytes.RequestBytes))
}

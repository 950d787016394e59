package amrsidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrhttp"
	"amaranthreach.example/core/amrreason"
)

const (
	serviceChunkBytes    = 32 << 10
	maxServiceAnswer     = 8 << 20 // In bytes; longer answers fail.
	serviceBatchLimit    = 64      // Maximum number of requests that run at the same time.
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// service is a plain HTTP service as the backend server. It reports no status, so
// the sidecar takes it to be ready at all times.
type service struct {
	url string

	// client sends idempotent calls, singleUse sends the others. If a reused
	// connection breaks, net/http sends a request that has an Idempotency-Key
	// header again. singleUse opens a new connection for each call, so that a
	// call is sent at most once.
	client, singleUse *http.Client
}

func newService(url string) *service {
	return &service{
		url: url,
		client: &http.Client{Transport: amrhttp.NewRoundTripper(&http.Transport{
			MaxIdleConnsPerHost: serviceBatchLimit,
			DisableCompression:  true,
		})},
		singleUse: &http.Client{Transport: amrhttp.NewRoundTripper(&http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
		})},
	}
}

// run sends the request as an HTTP call and relays the response body in chunks.
func (s *service) run(ctx context.Context, request *amrgate.DispatchRequest, relay func(answerChunk) error) (attemptResult, error) {
	call := request.GetServiceCall()
	httpRequest, err := http.NewRequestWithContext(ctx, call.GetMethod(), s.url+"/"+call.GetPath(), bytes.NewReader(call.GetBody()))
	if err != nil {
		return attemptResult{}, attemptError{reason: amrreason.BadRequest, ran: amrreason.NotRun}
	}
	httpRequest.Header.Set("Content-Type", call.GetContentType())
	httpRequest.Header.Set(headerRequestID, request.GetRequestId())
	client := s.client
	if claim := request.GetClaim(); claim != nil {
		httpRequest.Header.Set(headerIdempotencyKey, claim.GetKey())
		client = s.singleUse
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return attemptResult{}, serviceError(err)
	}
	defer response.Body.Close()
	if err := relayBody(response.Body, relay); err != nil {
		return attemptResult{}, err
	}
	return attemptResult{status: response.StatusCode, contentType: response.Header.Get("Content-Type")}, nil
}

// serviceError returns the attemptError for a call without a response.
func serviceError(err error) error {
	if isDialError(err) {
		return attemptError{reason: amrreason.EngineUnavailable, ran: amrreason.NotRun, cause: err}
	}
	return attemptError{reason: amrreason.EngineLost, ran: amrreason.RunUnknown, cause: err}
}

// relayBody relays the body in chunks of at most serviceChunkBytes.
func relayBody(body io.Reader, relay func(answerChunk) error) error {
	limited := io.LimitReader(body, maxServiceAnswer+1)
	buffer := make([]byte, serviceChunkBytes)
	var total int
	for {
		n, err := limited.Read(buffer)
		total += n
		if total > maxServiceAnswer {
			return attemptError{reason: amrreason.Internal, ran: amrreason.DidRun}
		}
		if n > 0 {
			if err := relay(answerChunk{body: bytes.Clone(buffer[:n])}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return attemptError{reason: amrreason.EngineLost, ran: amrreason.DidRun, cause: err}
		}
	}
}

// state returns a constant state, since a plain service reports none.
func (s *service) state() backendState {
	return backendState{ready: true, batchLimit: serviceBatchLimit}
}

// crashed reports whether no connection to the service can be established. A
// service that broke a connection but accepts a new one has not crashed.
func (s *service) crashed(ctx context.Context, _ string) bool {
	head, err := http.NewRequestWithContext(ctx, http.MethodHead, s.url, nil)
	if err != nil {
		return false
	}
	response, err := s.singleUse.Do(head)
	if err != nil {
		return isDialError(err)
	}
	return response.Body.Close() != nil
}

// watch closes the idle connections when ctx is done.
func (s *service) watch(ctx context.Context) error {
	<-ctx.Done()
	s.client.CloseIdleConnections()
	return nil
}

// isDialError reports whether the error occurred while the connection was being
// established, in which case no part of the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

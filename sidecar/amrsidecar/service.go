package amrsidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
)

const (
	serviceChunkBytes    = 32 << 10
	maxServiceAnswer     = 8 << 20 // In bytes.
	serviceBatchLimit    = 64      // Requests at once at a plain service.
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// service is a plain service beside the sidecar.
type service struct {
	url string

	// client serves idempotent calls, and once the others. net/http sends a
	// request with an Idempotency-Key again when a reused connection breaks;
	// once never reuses one.
	client, once *http.Client
}

func newService(url string) *service {
	return &service{
		url: url,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: serviceBatchLimit,
			DisableCompression:  true,
		}},
		once: &http.Client{Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
	}
}

func (s *service) run(ctx context.Context, request *amrgate.DispatchRequest, relay func(piece) error) (result, error) {
	call := request.GetServiceCall()
	post, err := http.NewRequestWithContext(ctx, call.GetMethod(), s.url+"/"+call.GetPath(), bytes.NewReader(call.GetBody()))
	if err != nil {
		return result{}, failure{reason: amrreason.BadRequest, ran: amrreason.NotRun}
	}
	post.Header.Set("Content-Type", call.GetContentType())
	post.Header.Set(headerRequestID, request.GetRequestId())
	client := s.client
	if claim := request.GetClaim(); claim != nil {
		post.Header.Set(headerIdempotencyKey, claim.GetKey())
		client = s.once
	}
	response, err := client.Do(post)
	if err != nil {
		return result{}, serviceFailure(err)
	}
	defer response.Body.Close()
	if err := relayBody(response.Body, relay); err != nil {
		return result{}, err
	}
	return result{status: response.StatusCode, contentType: response.Header.Get("Content-Type")}, nil
}

func serviceFailure(err error) error {
	if isDialError(err) {
		return failure{reason: amrreason.EngineUnavailable, ran: amrreason.NotRun}
	}
	return failure{reason: amrreason.EngineLost, ran: amrreason.RunUnknown}
}

func relayBody(body io.Reader, relay func(piece) error) error {
	limited := io.LimitReader(body, maxServiceAnswer+1)
	buffer := make([]byte, serviceChunkBytes)
	var total int
	for {
		n, err := limited.Read(buffer)
		total += n
		if total > maxServiceAnswer {
			return failure{reason: amrreason.Internal, ran: amrreason.DidRun}
		}
		if n > 0 {
			if err := relay(piece{body: bytes.Clone(buffer[:n])}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return failure{reason: amrreason.EngineLost, ran: amrreason.DidRun}
		}
	}
}

func (s *service) state() backendState {
	return backendState{ready: true, batchLimit: serviceBatchLimit}
}

// crashed reports whether the service takes no connection. A service that cut
// one connection and takes the next has not crashed.
func (s *service) crashed(ctx context.Context, _ string) bool {
	head, err := http.NewRequestWithContext(ctx, http.MethodHead, s.url, nil)
	if err != nil {
		return false
	}
	response, err := s.once.Do(head)
	if err != nil {
		return isDialError(err)
	}
	return response.Body.Close() != nil
}

func (s *service) watch(ctx context.Context) error {
	<-ctx.Done()
	s.client.CloseIdleConnections()
	return nil
}

// isDialError reports whether the connection was never made, so that nothing
// was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

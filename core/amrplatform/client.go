package amrplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrhttp"
)

// DefaultTimeout is the time limit for a call of a Client without WithTimeout.
const DefaultTimeout = 3 * time.Second

// Client is an HTTP client of the platform's services. It implements Table,
// ObjectStore and HostList and is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	timeout time.Duration
}

var (
	_ Table       = (*Client)(nil)
	_ ObjectStore = (*Client)(nil)
	_ HostList    = (*Client)(nil)
)

// NewClient returns a client of the services at the base URL.
func NewClient(baseURL string, opts ...Option) *Client {
	c := &Client{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		http:    &http.Client{Transport: amrhttp.NewRoundTripper(http.DefaultTransport.(*http.Transport))},
		timeout: DefaultTimeout,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Option configures a Client.
type Option func(*Client)

// WithHTTPClient replaces the HTTP client that sends the requests.
func WithHTTPClient(client *http.Client) Option {
	return func(c *Client) { c.http = client }
}

// WithTimeout sets the time limit for a call. An earlier deadline of the call's
// context still applies.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// CloseIdleConnections closes all connections that are not in use.
func (c *Client) CloseIdleConnections() {
	c.http.CloseIdleConnections()
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item wireItem
	err := c.getJSON(ctx, pathItem, url.Values{"key": {key}}, &item)
	return Item(item), err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Item, error) {
	var wire []wireItem
	err := c.getJSON(ctx, pathItems, pageQuery(prefix, after, limit), &wire)
	var items []Item
	for _, item := range wire {
		items = append(items, Item(item))
	}
	return items, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	body, err := json.Marshal(toWireTxn(txn))
	if err != nil {
		return Unavailable.Wrap(err, "cannot encode the transaction, which was not sent; correct its values")
	}
	_, err = c.do(ctx, call{method: http.MethodPost, path: pathTransactions, body: body})
	return err
}

// PutObject implements ObjectStore.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, err := c.do(ctx, call{method: http.MethodPut, path: pathObject, query: url.Values{"key": {key}}, body: data})
	return err
}

// GetObject implements ObjectStore.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, call{method: http.MethodGet, path: pathObject, query: url.Values{"key": {key}}})
}

// ListObjects implements ObjectStore.
func (c *Client) ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var keys []string
	err := c.getJSON(ctx, pathObjectKeys, pageQuery(prefix, after, limit), &keys)
	return keys, err
}

// DeleteObject implements ObjectStore.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	_, err := c.do(ctx, call{method: http.MethodDelete, path: pathObject, query: url.Values{"key": {key}}})
	return err
}

// Hosts implements HostList.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var wire []wireHost
	err := c.getJSON(ctx, pathHosts, nil, &wire)
	var hosts []Host
	for _, host := range wire {
		hosts = append(hosts, Host(host))
	}
	return hosts, err
}

func pageQuery(prefix, after string, limit int) url.Values {
	return url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
}

func (c *Client) getJSON(ctx context.Context, path string, query url.Values, v any) error {
	data, err := c.do(ctx, call{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return Unavailable.Wrap(err, "cannot decode the response; check the address of the service")
	}
	return nil
}

// call describes an HTTP request to a service.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

// ambiguousKind returns the kind of error for a call that the service may have
// carried out: OutcomeUnknown for a write, and Unavailable for a read, which can
// be repeated.
func (c call) ambiguousKind() *errorx.Type {
	if c.method == http.MethodGet {
		return Unavailable
	}
	return OutcomeUnknown
}

// do sends the request and returns the body of a successful response. A request
// for which no connection was obtained certainly did not reach the service.
func (c *Client) do(ctx context.Context, call call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	target := c.baseURL + call.path + "?" + call.query.Encode()
	req, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return nil, Unavailable.Wrap(err, "cannot create the request; check the address of the service")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !sent.Load() {
			return nil, Unavailable.Wrap(err, "cannot connect to the service; try again after a pause")
		}
		return nil, call.ambiguousKind().Wrap(err, "no response from the service; repeat a read, and read back a write before trying it again")
	}
	defer resp.Body.Close()
	return readResponse(resp, call)
}

// readResponse returns the body of a successful response to a read, nil for a
// successful write, and otherwise an error of the kind that the status implies.
func readResponse(resp *http.Response, call call) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices {
		if call.method != http.MethodGet {
			return nil, nil // The status alone confirms the write.
		}
		if err != nil || len(data) > maxBodyBytes {
			return nil, Unavailable.New("response truncated or too large; try again after a pause")
		}
		return data, nil
	}
	var failure wireError
	_ = json.Unmarshal(data, &failure) // Without a message, the status alone is reported.
	return nil, kindOfStatus(resp.StatusCode, call).New("the service responded with status %d: %s", resp.StatusCode, failure.Message)
}

// kindOfStatus returns the kind of error that a status implies.
func kindOfStatus(status int, call call) *errorx.Type {
	switch status {
	case http.StatusNotFound:
		return NotFound
	case http.StatusConflict:
		return Conflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return Unavailable
	default:
		return call.ambiguousKind()
	}
}

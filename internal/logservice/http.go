package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultTimeout bounds one request, in addition to the wait of a long poll.
	// It is generous, as the platform may be slow for a long time. Dead connections
	// are detected sooner, by TCP keep-alive probes.
	defaultTimeout = 10 * time.Second
	// dialTimeout bounds opening a connection to one endpoint.
	dialTimeout = time.Second
	// idleConnTimeout is how long an idle connection stays open.
	idleConnTimeout = 30 * time.Second
	// maxConnsPerEndpoint bounds the connections to one endpoint.
	maxConnsPerEndpoint = 8
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 32 << 20
	// maxHeaderBytes bounds the header section of a response.
	maxHeaderBytes = 64 << 10
)

// Options configures a Client.
type Options struct {
	// ClientName is this VM's name, sent with each request.
	ClientName string
	// Timeout bounds one request, in addition to the wait of a long poll;
	// zero means 10 s.
	Timeout time.Duration
}

// Client is an HTTP client of the log service and the VM list. It is safe for
// concurrent use. It sends all requests to one endpoint until that one fails.
type Client struct {
	endpoints []string
	opts      Options
	client    *http.Client
	current   atomic.Uint32
	traffic   traffic

	cachedMu sync.Mutex // guards cached
	cached   cachedList
}

var (
	_ Log    = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

// NewClient returns a client of the endpoints, which are base URLs of the same
// service, such as "http://192.0.2.7:9000".
func NewClient(endpoints []string, opts Options) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	h := &Client{endpoints: endpoints, opts: opts}
	h.client = &http.Client{Transport: &http.Transport{
		DialContext:     h.traffic.dial,
		IdleConnTimeout: idleConnTimeout,
		MaxConnsPerHost: maxConnsPerEndpoint,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	return h
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Append implements Log. It tries the next endpoint only if the request certainly
// had no effect at the previous one, so it never appends a record twice.
func (c *Client) Append(ctx context.Context, stream string, data json.RawMessage) (int64, error) {
	request := call{
		operation: "append " + stream,
		method:    http.MethodPost,
		path:      streamPath(stream),
		body:      data,
		timeout:   c.opts.Timeout,
	}
	var response struct {
		Offset int64 `json:"offset"`
	}
	err := c.do(ctx, request, &response)
	return response.Offset, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	request := call{
		operation: "read " + stream,
		method:    http.MethodGet,
		path:      streamPath(stream) + "?" + query.Encode(),
		timeout:   c.opts.Timeout + wait,
	}
	var page Page
	err := c.do(ctx, request, &page)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		expired.Stream = stream
	}
	return page, err
}

// call is one request to the platform.
type call struct {
	operation, method, path string
	body                    []byte
	timeout                 time.Duration
	// header holds additional request headers.
	header http.Header
}

func streamPath(stream string) string {
	return "/streams/" + url.PathEscape(stream) + "/records"
}

// do sends the call to the current endpoint. If that fails, it tries the others in
// turn, unless a retried call could take effect twice.
func (c *Client) do(ctx context.Context, request call, result any) error {
	var err error = &UnavailableError{Operation: request.operation, NoEffect: true, Err: errNoEndpoint}
	first := c.current.Load()
	for i := range uint32(len(c.endpoints)) {
		n := (first + i) % uint32(len(c.endpoints))
		err = c.send(ctx, c.endpoints[n], request, result)
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) {
			c.current.Store(n)
			return err
		}
		if ctx.Err() != nil || !mayRetry(request, unavailable) {
			return err
		}
	}
	return err
}

var errNoEndpoint = errors.New("the settings list no platform endpoint")

// mayRetry reports whether a failed call may be sent to another endpoint.
func mayRetry(request call, err *UnavailableError) bool {
	return request.method == http.MethodGet || err.NoEffect
}

// send sends the call to one endpoint and decodes the response.
func (c *Client) send(ctx context.Context, endpoint string, request call, result any) error {
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	unavailable := func(status int, err error) *UnavailableError {
		noEffect := !connected.Load() || isClientError(status)
		return &UnavailableError{Operation: request.operation, NoEffect: noEffect, Status: status, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, request.method, endpoint+request.path, bytes.NewReader(request.body))
	if err != nil {
		return unavailable(0, err)
	}
	maps.Copy(req.Header, request.header)
	req.Header.Set(HeaderClient, c.opts.ClientName)
	if request.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return unavailable(0, err)
	}
	defer resp.Body.Close()
	body, err := readResponse(resp.Body)
	if err != nil {
		return unavailable(resp.StatusCode, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(body, result); err != nil {
			return unavailable(resp.StatusCode, fmt.Errorf("decode response: %w", err))
		}
		if tagged, ok := result.(*taggedList); ok {
			tagged.etag = resp.Header.Get("ETag")
		}
		return nil
	case http.StatusNotModified:
		return errNotModified
	case http.StatusGone:
		return expiredError(body)
	default:
		return unavailable(resp.StatusCode, nil)
	}
}

func isClientError(status int) bool { return status >= 400 && status < 500 }

func readResponse(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if len(data) > maxResponseBytes {
		return nil, fmt.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	return data, nil
}

// expiredError decodes the body of a 410 response.
func expiredError(body []byte) error {
	var response struct {
		Oldest int64 `json:"oldest"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return &UnavailableError{Operation: "read", Status: http.StatusGone, Err: err}
	}
	return &ExpiredError{Oldest: response.Oldest}
}

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
	// defaultTimeout bounds one request, over and above the wait of a long poll.
	// The platform may be slow for a long time; connections that have died are
	// found sooner, by their keep-alive probes.
	defaultTimeout = 10 * time.Second
	// dialTimeout bounds opening a connection to one endpoint.
	dialTimeout = time.Second
	// idleConnTimeout is how long an unused connection is kept.
	idleConnTimeout = 30 * time.Second
	// maxConnsPerEndpoint bounds the connections to one endpoint.
	maxConnsPerEndpoint = 8
	// maxAnswerBytes is the largest answer that is read.
	maxAnswerBytes = 32 << 20
)

// Options are the settings of an HTTP client of the platform.
type Options struct {
	// ClientName is this VM's name, sent with each request.
	ClientName string
	// Timeout bounds one request, over and above the wait of a long poll;
	// zero stands for 10 s.
	Timeout time.Duration
}

// Client is a client of the log service and the VM list. It is safe for
// concurrent use. It keeps to one endpoint until that one fails.
type Client struct {
	endpoints []string
	opts      Options
	client    *http.Client
	current   atomic.Uint32
	traffic   traffic

	listMu sync.Mutex // guards list
	list   cachedList
}

var (
	_ Log    = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

// NewClient returns a client of the endpoints, which are base URLs such as
// "http://192.0.2.7:9000" of one and the same service.
func NewClient(endpoints []string, opts Options) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	h := &Client{endpoints: endpoints, opts: opts}
	h.client = &http.Client{Transport: &http.Transport{
		DialContext:     h.traffic.dial,
		IdleConnTimeout: idleConnTimeout,
		MaxConnsPerHost: maxConnsPerEndpoint,
	}}
	return h
}

// Close drops the kept connections.
func (h *Client) Close() { h.client.CloseIdleConnections() }

// Append implements Log. It turns to the next endpoint only where nothing was
// sent to the one before, so it never appends twice by itself.
func (h *Client) Append(ctx context.Context, stream string, data json.RawMessage) (int64, error) {
	c := call{
		operation: "append " + stream,
		method:    http.MethodPost,
		path:      streamPath(stream),
		body:      data,
		timeout:   h.opts.Timeout,
	}
	var answer struct {
		Offset int64 `json:"offset"`
	}
	err := h.do(ctx, c, &answer)
	return answer.Offset, err
}

// Read implements Log.
func (h *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	c := call{
		operation: "read " + stream,
		method:    http.MethodGet,
		path:      streamPath(stream) + "?" + query.Encode(),
		timeout:   h.opts.Timeout + wait,
	}
	var page Page
	err := h.do(ctx, c, &page)
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
	// header is sent along; its values are set for this call only.
	header http.Header
}

func streamPath(stream string) string {
	return "/streams/" + url.PathEscape(stream) + "/records"
}

// do sends the call to the current endpoint and, where that had no effect,
// to the others in turn.
func (h *Client) do(ctx context.Context, c call, answer any) error {
	var err error = &UnavailableError{Operation: c.operation, NoEffect: true, Err: errNoEndpoint}
	first := h.current.Load()
	for i := range uint32(len(h.endpoints)) {
		n := (first + i) % uint32(len(h.endpoints))
		err = h.once(ctx, h.endpoints[n], c, answer)
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) {
			h.current.Store(n)
			return err
		}
		if ctx.Err() != nil || !mayRepeat(c, unavailable) {
			return err
		}
	}
	return err
}

var errNoEndpoint = errors.New("the settings name no platform endpoint")

func mayRepeat(c call, err *UnavailableError) bool {
	return c.method == http.MethodGet || err.NoEffect
}

// once sends the call to one endpoint.
func (h *Client) once(ctx context.Context, endpoint string, c call, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	unavailable := func(status int, err error) *UnavailableError {
		certain := !connected.Load() || isClientError(status)
		return &UnavailableError{Operation: c.operation, NoEffect: certain, Status: status, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, c.method, endpoint+c.path, bytes.NewReader(c.body))
	if err != nil {
		return unavailable(0, err)
	}
	maps.Copy(req.Header, c.header)
	req.Header.Set(HeaderClient, h.opts.ClientName)
	if c.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return unavailable(0, err)
	}
	defer resp.Body.Close()
	body, err := readAnswer(resp.Body)
	if err != nil {
		return unavailable(resp.StatusCode, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(body, answer); err != nil {
			return unavailable(resp.StatusCode, fmt.Errorf("decode answer: %w", err))
		}
		if tagged, ok := answer.(*taggedList); ok {
			tagged.tag = resp.Header.Get("ETag")
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

func readAnswer(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(data) > maxAnswerBytes {
		return nil, fmt.Errorf("answer is larger than %d bytes", maxAnswerBytes)
	}
	return data, nil
}

func expiredError(body []byte) error {
	var answer struct {
		Oldest int64 `json:"oldest"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return &UnavailableError{Operation: "read", Status: http.StatusGone, Err: err}
	}
	return &ExpiredError{Oldest: answer.Oldest}
}

// Package platform is the client of the platform's object API: objects with
// versions, conditional updates, lists and watches.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/httpcall"
)

// The object API's headers, parameters and bounds.
const (
	// HeaderVersion carries an object's version in answers.
	HeaderVersion = "Resource-Version"
	// HeaderIfVersion carries the version that a write expects.
	HeaderIfVersion = "If-Resource-Version"
	// MaxValueBytes is the largest value that the platform holds.
	MaxValueBytes = 1 << 20
	// maxAnswerBytes bounds any answer, lists included.
	maxAnswerBytes = 16 << 20
)

// Version is an object's resource version. NoVersion stands for "must not exist".
type Version uint64

// NoVersion is the version of an object that does not exist.
const NoVersion Version = 0

// Object is a value with its key and version.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// WatchAnswer is what a watch returns: what changed, and up to which version.
type WatchAnswer struct {
	Objects []Object `json:"objects"`
	Version Version  `json:"version"`
}

// Calls counts the calls made, by kind, and the bytes of requests and answers.
type Calls struct {
	Reads, Writes, Watches, Bytes atomic.Int64
}

// Client calls one object API. It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	calls   Calls
	onState func(err error)
}

// NewClient returns a client for the API at address; timeout bounds each call
// but watches. onState, if not nil, is told the result of every call.
func NewClient(address string, timeout time.Duration, onState func(err error)) *Client {
	if onState == nil {
		onState = func(error) {}
	}
	return &Client{address: address, timeout: timeout, onState: onState}
}

// Calls returns the client's call counts.
func (c *Client) Calls() *Calls { return &c.calls }

// Get reads an object. Errors are *CallError and may wrap ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	c.calls.Reads.Add(1)
	answer, err := c.call(ctx, c.timeout, consts.MethodGet, "/objects/"+key, nil, nil)
	if err == nil {
		err = answer.readError()
	}
	if err != nil {
		return Object{}, &CallError{Step: "get", Peer: c.address, Key: key, Err: err}
	}
	return Object{Key: key, Version: answer.version, Value: answer.body}, nil
}

// Put writes an object whose version must still be expect, and returns its new
// version. Errors are *CallError and may wrap ErrConflict or ErrUncertain; after
// ErrUncertain the caller reads back and looks for its own id in the value.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect Version) (Version, error) {
	c.calls.Writes.Add(1)
	headers := map[string]string{HeaderIfVersion: strconv.FormatUint(uint64(expect), 10)}
	answer, err := c.call(ctx, c.timeout, consts.MethodPut, "/objects/"+key, headers, value)
	if err != nil {
		err = writeError(err)
	} else {
		err = answer.readError()
	}
	if err != nil {
		return NoVersion, &CallError{Step: "put", Peer: c.address, Key: key, Err: err}
	}
	return answer.version, nil
}

// List returns the objects below a prefix. The instance list may lag.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	c.calls.Reads.Add(1)
	path := "/list?prefix=" + url.QueryEscape(prefix)
	answer, err := c.callWatch(ctx, c.timeout, path)
	if err != nil {
		return nil, &CallError{Step: "list", Peer: c.address, Key: prefix, Err: err}
	}
	return answer.Objects, nil
}

// Watch waits until an object below prefix has a version above since, or until
// wait is over, and returns the changed objects.
func (c *Client) Watch(ctx context.Context, prefix string, since Version, wait time.Duration) (WatchAnswer, error) {
	c.calls.Watches.Add(1)
	path := fmt.Sprintf("/watch?prefix=%s&since=%d&wait_millis=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	answer, err := c.callWatch(ctx, wait+c.timeout, path)
	if err != nil {
		return WatchAnswer{}, &CallError{Step: "watch", Peer: c.address, Key: prefix, Err: err}
	}
	return answer, nil
}

func (c *Client) callWatch(ctx context.Context, timeout time.Duration, path string) (WatchAnswer, error) {
	answer, err := c.call(ctx, timeout, consts.MethodGet, path, nil, nil)
	if err == nil {
		err = answer.readError()
	}
	if err != nil {
		return WatchAnswer{}, err
	}
	var decoded WatchAnswer
	if err := json.Unmarshal(answer.body, &decoded); err != nil {
		return WatchAnswer{}, fmt.Errorf("decode answer: %w", err)
	}
	return decoded, nil
}

type answer struct {
	status  int
	version Version
	body    []byte
}

func (a answer) readError() error {
	switch a.status {
	case consts.StatusOK:
		return nil
	case consts.StatusNotFound:
		return ErrNotFound
	case consts.StatusConflict:
		return ErrConflict
	case consts.StatusTooManyRequests:
		return ErrThrottled
	default:
		return fmt.Errorf("status %d", a.status)
	}
}

// writeError adds ErrUncertain unless the request never left: a write whose
// answer is lost may have taken effect, and treating it as failed would draw
// or claim twice.
func writeError(err error) error {
	var callErr *httpcall.Error
	if errors.As(err, &callErr) && callErr.Step == "dial" {
		return err
	}
	return errors.Join(ErrUncertain, err)
}

func (c *Client) call(
	ctx context.Context, timeout time.Duration, method, path string, headers map[string]string, body []byte,
) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.SetBody(body)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	opts := httpcall.Options{Address: c.address, DialTimeout: timeout, MaxResponseBytes: maxAnswerBytes}
	end, err := httpcall.Call(ctx, opts, req, resp)
	defer end()
	c.onState(err)
	c.calls.Bytes.Add(int64(len(req.Header.Header()) + len(body) + len(resp.Header.Header()) + len(resp.Body())))
	if err != nil {
		return answer{}, err
	}
	version, _ := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64)
	copied := append([]byte(nil), resp.Body()...)
	return answer{status: resp.StatusCode(), version: Version(version), body: copied}, nil
}

package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/godwithatch/godwithatch/modules/fault"
)

// MaxValueBytes is the maximum size of an object's value in bytes.
const MaxValueBytes = 1 << 20

const versionHeader = "Object-Version"

// Client implements Store over HTTP.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a Client for the object API at address, an IP address and
// port. Each call takes at most timeout. A Watch may take its wait time in
// addition.
func NewClient(address string, timeout time.Duration) *Client {
	// Idle connections are kept only briefly, so that the next call does not use one
	// that has stopped delivering data.
	transport := &http.Transport{IdleConnTimeout: 5 * time.Second, MaxIdleConnsPerHost: 8}
	return &Client{
		baseURL: "http://" + address,
		timeout: timeout,
		http:    &http.Client{Transport: transport},
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	return c.read(ctx, name, "", c.timeout)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, name string, version uint64, wait time.Duration) (Object, error) {
	query := fmt.Sprintf("?after=%d&wait_ms=%d", version, wait.Milliseconds())
	return c.read(ctx, name, query, c.timeout+wait)
}

func (c *Client) read(ctx context.Context, name, query string, timeout time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	header, body, err := c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name)+query, nil, 0)
	if err != nil {
		return Object{}, err
	}
	version, err := parseVersion(header)
	if err != nil {
		return Object{}, err
	}
	return NewObject(name, version, body), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, body, err := c.call(ctx, http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(prefix), nil, 0)
	if err != nil {
		return nil, err
	}
	var rows []struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, fault.Wrap(fault.StoreUnavailable, fault.Unknown, err, "the list of objects cannot be read")
	}
	objects := make([]Object, len(rows))
	for i, r := range rows {
		objects[i] = NewObject(r.Name, r.Version, r.Value)
	}
	return objects, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fault.New(fault.ObjectTooLarge, fault.NotRun, "object %q has %d bytes, the limit is %d", name, len(value), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	header, _, err := c.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), value, version)
	if err != nil {
		return 0, err
	}
	return parseVersion(header)
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) ([]HostEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, body, err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, 0)
	if err != nil {
		return nil, err
	}
	type hostRow struct {
		ID         string `json:"id"`
		Address    string `json:"address"`
		DataCentre string `json:"data_centre"`
		Leaving    bool   `json:"leaving"`
	}
	var rows []hostRow
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, fault.Wrap(fault.StoreUnavailable, fault.Unknown, err, "the list of hosts cannot be read")
	}
	return lo.Map(rows, func(r hostRow, _ int) HostEntry {
		return NewHostEntry(r.ID, r.Address, r.DataCentre, r.Leaving)
	}), nil
}

// call sends one request and returns the header and body of the response. A PUT
// succeeds only if the object's current version equals version.
func (c *Client) call(ctx context.Context, method, path string, body []byte, version uint64) (http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fault.Wrap(fault.Internal, fault.NotRun, err, "request to the store cannot be made")
	}
	if method == http.MethodPut {
		req.Header.Set("If-Match", strconv.FormatUint(version, 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		return nil, nil, fault.Wrap(fault.StoreUnavailable, fault.Unknown, err, "no answer from the store")
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, 256*MaxValueBytes))
	if err != nil {
		return nil, nil, fault.Wrap(fault.StoreUnavailable, fault.Unknown, err, "the answer of the store broke off")
	}
	return resp.Header, content, statusFault(resp.StatusCode, path)
}

func statusFault(status int, path string) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return fault.New(fault.ObjectNotFound, fault.NotRun, "there is no object at %s", path)
	case http.StatusPreconditionFailed:
		return fault.New(fault.VersionConflict, fault.NotRun, "the object at %s has another version", path)
	case http.StatusRequestEntityTooLarge:
		return fault.New(fault.ObjectTooLarge, fault.NotRun, "the store refused the size of %s", path)
	default:
		return fault.New(fault.StoreUnavailable, fault.Unknown, "the store answered %d for %s", status, path)
	}
}

func parseVersion(header http.Header) (uint64, error) {
	v, err := strconv.ParseUint(header.Get(versionHeader), 10, 64)
	if err != nil {
		return 0, fault.Wrap(fault.StoreUnavailable, fault.Unknown, err, "the store sent no version")
	}
	return v, nil
}

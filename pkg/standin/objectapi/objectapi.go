// Package objectapi is a small stand-in for the platform's object API: objects
// with versions, conditional updates, lists, watches, and switchable faults.
package objectapi

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/httpserve"
	"github.com/lavenderring/lavenderring/pkg/platform"
)

// maxBodyBytes leaves room above the largest value, so that the stand-in itself
// refuses what is too large.
const maxBodyBytes = 2 * platform.MaxValueBytes

// Faults switches what goes wrong.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// SlowMillis delays every call.
	SlowMillis int64 `json:"slow_millis"`
	// LoseAnswers is how many of the next writes take effect and then have
	// their connection closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMillis is how old the instance list is.
	ListLagMillis int64 `json:"list_lag_millis"`
}

// Stats counts calls.
type Stats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Bytes   int64 `json:"bytes"`
}

// Server is the stand-in.
type Server struct {
	http *httpserve.Server

	mu      sync.Mutex
	objects map[string]platform.Object
	written map[string]time.Time
	version platform.Version
	changed chan struct{}
	faults  Faults
	stats   Stats
}

// Start listens on an address.
func Start(address string) (*Server, error) {
	http, err := httpserve.Listen(httpserve.Options{Address: address, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, err
	}
	s := &Server{
		http:    http,
		objects: map[string]platform.Object{},
		written: map[string]time.Time{},
		changed: make(chan struct{}),
	}
	http.GET("/objects/*key", s.get)
	http.PUT("/objects/*key", s.put)
	http.GET("/list", s.list)
	http.GET("/watch", s.watch)
	http.POST("/faults", httpserve.Take(s.SetFaults))
	http.GET("/stats", s.getStats)
	http.Serve()
	return s, nil
}

// SetFaults switches faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Stats returns the call counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// fail answers by the faults in force and reports whether it did.
func (s *Server) fail(c *app.RequestContext) bool {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	if faults.Outage {
		c.SetStatusCode(consts.StatusServiceUnavailable)
	}
	return faults.Outage
}

func (s *Server) get(_ context.Context, c *app.RequestContext) {
	s.count(func(stats *Stats) { stats.Reads++ })
	if s.fail(c) {
		return
	}
	s.mu.Lock()
	object, found := s.objects[keyOf(c)]
	s.mu.Unlock()
	if !found {
		c.SetStatusCode(consts.StatusNotFound)
		return
	}
	c.Header(platform.HeaderVersion, strconv.FormatUint(uint64(object.Version), 10))
	c.Data(consts.StatusOK, "application/octet-stream", object.Value)
}

func keyOf(c *app.RequestContext) string { return strings.TrimPrefix(c.Param("key"), "/") }

func (s *Server) put(_ context.Context, c *app.RequestContext) {
	s.count(func(stats *Stats) { stats.Writes++ })
	if s.fail(c) {
		return
	}
	value := append([]byte(nil), c.Request.Body()...)
	if len(value) > platform.MaxValueBytes {
		c.SetStatusCode(consts.StatusRequestEntityTooLarge)
		return
	}
	expect, err := strconv.ParseUint(string(c.GetHeader(platform.HeaderIfVersion)), 10, 64)
	if err != nil {
		c.SetStatusCode(consts.StatusBadRequest)
		return
	}
	version, stored, lose := s.store(keyOf(c), value, platform.Version(expect))
	if !stored {
		c.SetStatusCode(consts.StatusConflict)
		return
	}
	if lose {
		_ = c.GetConn().Close()
		return
	}
	c.Header(platform.HeaderVersion, strconv.FormatUint(uint64(version), 10))
}

func (s *Server) store(key string, value []byte, expect platform.Version) (platform.Version, bool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != expect {
		return 0, false, false
	}
	s.version++
	s.objects[key] = platform.Object{Key: key, Version: s.version, Value: value}
	s.written[key] = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	return s.version, true, lose
}

func (s *Server) list(_ context.Context, c *app.RequestContext) {
	s.count(func(stats *Stats) { stats.Reads++ })
	if s.fail(c) {
		return
	}
	s.mu.Lock()
	objects := s.below(c.Query("prefix"), 0)
	lag := time.Duration(s.faults.ListLagMillis) * time.Millisecond
	kept := objects[:0]
	for _, object := range objects {
		if time.Since(s.written[object.Key]) >= lag {
			kept = append(kept, object)
		}
	}
	answer := platform.WatchAnswer{Objects: kept, Version: s.version}
	s.mu.Unlock()
	c.JSON(consts.StatusOK, answer)
}

// below returns the objects with a version above since; s.mu is held.
func (s *Server) below(prefix string, since platform.Version) []platform.Object {
	objects := []platform.Object{}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && object.Version > since {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	return objects
}

func (s *Server) watch(ctx context.Context, c *app.RequestContext) {
	s.count(func(stats *Stats) { stats.Watches++ })
	if s.fail(c) {
		return
	}
	since, _ := strconv.ParseUint(c.Query("since"), 10, 64)
	millis, _ := strconv.ParseInt(c.Query("wait_millis"), 10, 64)
	deadline := time.After(time.Duration(millis) * time.Millisecond)
	for {
		s.mu.Lock()
		objects := s.below(c.Query("prefix"), platform.Version(since))
		answer := platform.WatchAnswer{Objects: objects, Version: s.version}
		changed, outage := s.changed, s.faults.Outage
		s.mu.Unlock()
		if outage {
			c.SetStatusCode(consts.StatusServiceUnavailable)
			return
		}
		if len(objects) > 0 {
			c.JSON(consts.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			c.JSON(consts.StatusOK, answer)
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) getStats(_ context.Context, c *app.RequestContext) {
	c.JSON(consts.StatusOK, s.Stats())
}

func (s *Server) count(add func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.stats)
}

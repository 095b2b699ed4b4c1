package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"

	"lycheehall.example/lycheehall/examples"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/standin"
	"lycheehall.example/lycheehall/state"
)

// embedded is a platform inside the test process.
type embedded struct {
	*standin.Table
	*standin.Directory
}

func (e embedded) Announce(_ context.Context, m state.Member) error {
	e.Add(m)
	return nil
}

// startLocal runs one instance and one target in this process, and returns the addresses
// for callers, of the target, and for operators.
func startLocal(b testing.TB) (entry, target, operators string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	t := standin.NewTarget("t1", "bookings", true)
	t.Concurrency = 1000
	go http.Serve(l, t.Handler())
	p := embedded{standin.NewTable(), standin.NewDirectory(0)}
	p.Add(state.Member{ID: "t1", Kind: state.KindTarget, Service: "bookings", Address: l.Addr().String(), Lifecycle: state.Live})
	file := filepath.Join(b.TempDir(), "rules.toml")
	if err := os.WriteFile(file, []byte(examples.Rules), 0o600); err != nil {
		b.Fatal(err)
	}
	s := settings.Default()
	s.Listen, s.Peer, s.Admin, s.FirstRules = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", file
	s.Secret, s.OperatorToken, s.Grace = testSecret, testSecret, 0
	logger, level := NewLogger(io.Discard, log.ErrorLevel)
	srv, err := New(s, p, logger, level)
	if err != nil {
		b.Fatal(err)
	}
	if err := srv.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(srv.Close)
	entry, operators = srv.Addresses()
	for {
		resp, err := http.Get("http://" + entry + "/plumbers/h-1")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return entry, l.Addr().String(), operators
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// BenchmarkRequests compares requests through one instance with the same requests made
// directly to the target, in one run. The direct ones ask for a path that needs no grant.
func BenchmarkRequests(b *testing.B) {
	entry, target, _ := startLocal(b)
	for _, way := range []struct{ name, url string }{
		{"direct", "http://" + target + "/plumbers/h-1"},
		{"through", "http://" + entry + "/plumbers/h-1"},
	} {
		b.Run(way.name, func(b *testing.B) { measureRequests(b, way.url) })
	}
}

const benchConnections = 6

func measureRequests(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchConnections}}
	var mu sync.Mutex
	var times []time.Duration
	jobs := make(chan struct{})
	var wg sync.WaitGroup
	for range benchConnections {
		wg.Go(func() {
			var own []time.Duration
			for range jobs {
				start := time.Now()
				resp, err := client.Get(url)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Errorf("request failed: %v", err)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				own = append(own, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, own...)
		})
	}
	b.ResetTimer()
	for range b.N {
		jobs <- struct{}{}
	}
	close(jobs)
	wg.Wait()
	b.StopTimer()
	slices.Sort(times)
	if len(times) == 0 {
		b.Fatal("no request succeeded")
	}
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

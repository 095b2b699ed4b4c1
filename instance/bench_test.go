package instance_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"lycheehall.example/lycheehall/examples"
	"lycheehall.example/lycheehall/instance"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/state/rulestore"
)

// localInstance is one instance with its store and one target in this process.
type localInstance struct {
	callers, operators, target string
	store                      *standin.Store
	instance                   *instance.Instance
	log                        *os.File
}

func serveLocal(b testing.TB, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go http.Serve(l, h)
	return l.Addr().String()
}

// startLocal starts an instance that watches the given settings file, if any, and waits until it
// serves.
func startLocal(b testing.TB, file string) *localInstance {
	return startLocalWith(b, file, settings.Default(), 0)
}

// startLocalWith is like startLocal, with other settings than the default ones and the time that the
// target works on a request.
func startLocalWith(b testing.TB, file string, s settings.Settings, work time.Duration) *localInstance {
	t := standin.NewTarget("t1", "bookings", true)
	t.Slots, t.Work = 1000, work
	d := &localInstance{store: standin.NewStore()}
	d.target = serveLocal(b, t.Handler())
	if err := d.store.Put(platform.TargetTable, "t1", t.Entry(d.target, "dc1", false)); err != nil {
		b.Fatal(err)
	}
	storeAddress := serveLocal(b, d.store.Handler())
	p := platform.NewWithStoredRules(storeAddress)
	if _, err := rulestore.Apply(context.Background(), p.Store, 0, rulestore.Record{Text: examples.Rules}); err != nil {
		b.Fatal(err)
	}
	s.Platform = storeAddress
	s.Listen, s.Peer, s.Admin, s.Readiness = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.OperatorToken = testSecret
	log, err := os.CreateTemp(b.TempDir(), "log")
	if err != nil {
		b.Fatal(err)
	}
	d.log = log
	if d.instance, err = instance.New(s, p, log); err != nil {
		b.Fatal(err)
	}
	if file != "" {
		d.instance.WatchSettings(file)
	}
	d.instance.Start()
	b.Cleanup(d.instance.Close)
	d.callers, d.operators = d.instance.Addresses()
	for {
		resp, err := http.Get("http://" + d.callers + "/plumbers/h-1")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return d
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// BenchmarkRequests compares requests through one instance, without and with a pipeline depth, with
// requests sent directly to the target. Direct requests contain the key number themselves.
func BenchmarkRequests(b *testing.B) {
	d := startLocal(b, "")
	s := settings.Default()
	s.Connections.PipelineDepth = 8
	pipelining := startLocalWith(b, "", s, 0)
	for _, route := range []struct{ name, url string }{
		{"direct", "http://" + d.target + "/plumbers/h-1"},
		{"through", "http://" + d.callers + "/plumbers/h-1"},
		{"pipelining", "http://" + pipelining.callers + "/plumbers/h-1"},
	} {
		b.Run(route.name, func(b *testing.B) { measureRequests(b, route.url) })
	}
}

const benchConnections = 6

func measureRequests(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchConnections}}
	var mu sync.Mutex
	var allLatencies []time.Duration
	jobs := make(chan struct{})
	var wg sync.WaitGroup
	for range benchConnections {
		wg.Go(func() {
			var latencies []time.Duration
			for range jobs {
				start := time.Now()
				req, err := http.NewRequest(http.MethodGet, url, nil)
				if err != nil {
					b.Errorf("request: %v", err)
					continue
				}
				req.Header.Set(platform.Headers().RequestID, "b")
				req.Header.Set(platform.Headers().Key, "7")
				resp, err := client.Do(req)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Errorf("request failed: %v", err)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				latencies = append(latencies, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			allLatencies = append(allLatencies, latencies...)
		})
	}
	b.ResetTimer()
	for range b.N {
		jobs <- struct{}{}
	}
	close(jobs)
	wg.Wait()
	b.StopTimer()
	slices.Sort(allLatencies)
	if len(allLatencies) == 0 {
		b.Fatal("no request succeeded")
	}
	b.ReportMetric(float64(allLatencies[len(allLatencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(allLatencies[len(allLatencies)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

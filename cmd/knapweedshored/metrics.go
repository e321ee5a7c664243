package main

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

const (
	metricsPath = "/debug/vars"
	// metricsTimeout limits a request, so that stalled scrapers do not hold memory.
	metricsTimeout = 5 * time.Second
)

// serveMetrics serves the counters and the status until stop is called.
func serveMetrics(l net.Listener, r *metrics.Registry, status func() ([]byte, error), log *events.Logger) (stop func()) {
	server := &http.Server{
		Handler:     metricsHandler(r, status),
		ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, IdleTimeout: time.Minute,
		MaxHeaderBytes: 1 << 14,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Log(events.DaemonFailed, zap.String("part", "metrics"), zap.Error(err))
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close() // the process exits anyway
		}
		<-done
	}
}

// metricsHandler serves the counters and the status of one daemon in the format of
// expvar. status returns a JSON object. The process-wide command line is left out
// because it contains file names.
func metricsHandler(r *metrics.Registry, status func() ([]byte, error)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		state, err := status()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// A failed write means that the scraper has disconnected.
		_, _ = fmt.Fprintf(w, "{\n\"knapweedshore\": %s,\n\"status\": %s,\n\"memstats\": %s\n}\n",
			r.Map(), state, expvar.Get("memstats"))
	})
	return mux
}

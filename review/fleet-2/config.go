package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Figures of the engines, those of the site trinacria-mappe but for their number.
const (
	engineCount     = 4
	engineSlots     = 64
	engineWeightsMB = 67000
	engineAdapterMB = 12
	enginePlaces    = 21
	engineEventTime = 12 * time.Millisecond
)

// zones are those of the machines: four zones of one region. The seeds name the first three machines.
var zones = []string{"palermo-a", "palermo-b", "catania", "messina", "palermo-a", "palermo-b"}

// startEngines starts servers that hold all the given base models, with their weights in MB, and no adapter.
func (f *fleet) startEngines(modelsMB map[string]float64) ([]*server, error) {
	var servers []*server
	for i := range engineCount {
		s := &server{id: fmt.Sprintf("i-%04d", i), service: "pool", zone: zones[i%len(zones)], slots: engineSlots, record: f.record, store: f.store}
		s.engine = &engine{
			server: s, weightsMB: engineWeightsMB, adapterMB: engineAdapterMB, places: enginePlaces, modelsMB: modelsMB,
			eventTime: engineEventTime, adapters: map[string]*adapter{},
		}
		for model := range modelsMB {
			s.engine.models = append(s.engine.models, model)
		}
		slices.Sort(s.engine.models)
		if err := startServer(s); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// engineConfig is a configuration with one service of engines and a route of streams to it.
func engineConfig(modelsMB map[string]float64) map[string]any {
	var models []map[string]any
	for name, mb := range modelsMB {
		models = append(models, map[string]any{"name": name, "weights_mb": mb, "load_s": 3.9, "adapters": 3000, "adapter_mb": engineAdapterMB})
	}
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-draft", "host": "llm.example", "prefix": "/draft/", wire["kind"]: "streaming", "timeout_ms": 15000, wire["objective"]: 800,
			"priority": 2, "service": "pool", "max_attempts": 1, wire["affinity"]: true, "resumable": false, wire["gap"]: 250,
		}},
		"services": []map[string]any{{
			"name": "pool", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slot_count": engineSlots, "kv_tokens": 129799, "weights_mb": engineWeightsMB, wire["places"]: enginePlaces, "loads_per_s": 2.8,
				"models": models,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// plainConfig is a configuration with one plain service and a route of idempotent requests to it.
func plainConfig() map[string]any {
	c := engineConfig(nil)
	c["services"] = []map[string]any{{"name": "app", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}}
	c["routes"] = []map[string]any{{
		"name": "r-get", "host": "app.example", "prefix": "/get/", wire["kind"]: "idempotent", "timeout_ms": 800, wire["objective"]: 150,
		"priority": 2, "service": "app", "max_attempts": 2,
	}}
	return c
}

// streamAttempt is a request for a stream of 30 events on an adapter.
func streamAttempt(ref string) attempt {
	return attempt{
		method: http.MethodPost, host: "llm.example", path: "/draft/x", deadline: 15 * time.Second, body: "{}",
		header: map[string]string{"Model": ref, wire["tokens"]: "300,60", wire["parts"]: "5c1e07a2:200," + newID()[:8] + ":100"},
	}
}

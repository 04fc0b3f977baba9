package main

import "net/http"

const (
	modelService    = "huvo11a"
	registryService = "wuno96b"
	// paths of the routes
	draftPath  = "/lohu930/2f"      // a stream that may be resumed
	stampPath  = "/puxa403/2f"      // non_idempotent
	verifyPath = "/cufi504/fi50/2f" // idempotent
)

// putConfig writes a configuration with the routes of the small sites.
func putConfig(s *store, version int) {
	route := func(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": "ficu95.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs,
			"TargetLatencyMs": targetMs, "Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": false,
			"SessionAffinity": false, "StreamResumption": false,
		}
	}
	draft := route("draft", "/lohu930/", "streaming", modelService, 15000, 600, 2)
	draft["SessionAffinity"], draft["StreamResumption"], draft["TargetGapMs"] = true, true, 400
	s.put("keyed.op", "config", map[string]any{
		"Version": version,
		"Routes": []any{
			draft,
			route("stamp", "/puxa403/", "non_idempotent", registryService, 800, 120, 1),
			route("verify", "/cufi504/fi50/", "idempotent", registryService, 800, 120, 2),
		},
		"Services": []any{
			map[string]any{
				"Name": modelService, "HealthCheckPath": "/health", "ConnectionLimit": 360, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{
					"Slots": 64, "KvCacheTokens": 832343, "TokenKvBytes": 35136, "LinkBandwidthMbps": 260000.0, "Moves": true,
					"Backups": true, "Stride": 6, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleTtlS": 5.0,
					"Models": []any{map[string]any{"Name": "m"}},
				},
			},
			map[string]any{"Name": registryService, "HealthCheckPath": "/health", "ConnectionLimit": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TokensPerS": 410000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{clientKey}, "Priority": 1}},
	})
}

func stampCall() call {
	return call{id: newAttemptID(), method: http.MethodPost, path: stampPath, body: make([]byte, 600), deadline: stampDeadline}
}

func verifyCall() call {
	return call{id: newAttemptID(), method: http.MethodGet, path: verifyPath, deadline: stampDeadline}
}

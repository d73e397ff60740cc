package kit

import "context"

func ctx() context.Context { return context.Background() }

// Config returns a configuration in the operator's format: services "app" (plain) and "llm" (engines), one tenant.
func Config(version int, prepaid int64, routes ...map[string]any) map[string]any {
	tenant := map[string]any{"name": "crew", "api_keys": []string{Key}}
	if prepaid >= 0 {
		tenant["prepaid"] = prepaid
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
			{"name": "llm", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv_capacity": 350683, "stride": 6}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{tenant},
	}
}

// Route returns a route of a configuration.
func Route(prefix, kind, service string, timeoutMs, sloMs, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": "r-" + prefix, "host": Host, "path_prefix": "/" + prefix + "/", "type": kind, "timeout_ms": timeoutMs, "slo_ms": sloMs,
		"gap_slo_ms": 400, "priority": 0, "service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming",
		"resumable": resumable,
	}
}

package usersplatform

import "slices"

// Tenant returns a tenant of a configuration with its keys.
func Tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "ratePerS": 0, "burst": 0}
}

// WithTenants adds tenants to a configuration that Config returned, and makes the routes of some
// services public.
func WithTenants(config map[string]any, public []string, tenants ...map[string]any) map[string]any {
	for _, r := range config["routes"].([]map[string]any) {
		if slices.Contains(public, r["service"].(string)) {
			r["public"] = true
		}
	}
	config["tenants"] = tenants
	return config
}

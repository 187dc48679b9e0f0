package settings

import "testing"

// FuzzParse parses arbitrary text as the daemon's settings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"caller_address": "127.0.0.1:80", "caller_address": "x", "log_level": 7}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err != nil && err.Error() == "" {
			t.Error("Parse returned an error with an empty message")
		}
		if err == nil && (s.VM == "" || s.Zone == "" || len(s.PlatformEndpoints) == 0) {
			t.Errorf("accepted settings without vm, zone or platform_endpoints: %+v", s)
		}
	})
}

package settings

import "testing"

// FuzzParse parses any text as the daemon's settings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"caller_address": "127.0.0.1:80", "caller_address": "x", "log_level": 7}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err != nil && err.Error() == "" {
			t.Error("an error without words")
		}
		if err == nil && (s.VM == "" || s.Zone == "" || len(s.PlatformEndpoints) == 0) {
			t.Errorf("settings without what is required: %+v", s)
		}
	})
}

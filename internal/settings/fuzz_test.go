package settings

import "testing"

// FuzzParse parses any text as the daemon's settings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"vm": "entry-1", "zone": "a", "platform": ["http://127.0.0.1:1"]}`))
	f.Add([]byte(`{"caller_address": "127.0.0.1:80", "caller_address": "x", "log_level": 7}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Errorf("settings %v with error %v", s, err)
		}
		if err != nil && err.Error() == "" {
			t.Error("an error without words")
		}
	})
}

package load

import (
	"strings"
	"testing"

	"lacewingmount.dev/daemon"
)

const validSettings = `
entries: ["127.0.0.1:8000"]
direct: ["127.0.0.1:9000"]
duration: 1s
accounts: [{name: reader, rate: 10, burst: 5}]
mixes:
  - {account: reader, key: secret, method: GET, path: /shelf, rate: 10}
`

func TestSettingsAreRefusedWithTheFieldAndTheRemedy(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"valid":             {"", "", ""},
		"unknown field":     {"duration:", "colour: red\nduration:", "unknown field \"colour\""},
		"no entries":        {`["127.0.0.1:8000"]`, "[]", "Entries"},
		"entry address":     {"127.0.0.1:8000", "nowhere", "Entries[0]"},
		"direct address":    {"127.0.0.1:9000", "here", "Direct"},
		"no duration":       {"duration: 1s", "duration: 0s", "Duration"},
		"bad duration":      {"duration: 1s", "duration: soon", "invalid duration"},
		"rate of account":   {"rate: 10, burst", "rate: 0, burst", "Rate"},
		"method":            {"method: GET", "method: FETCH", "Method"},
		"path":              {"/shelf", "shelf", "Path"},
		"no loop":           {"/shelf, rate: 10", "/shelf", "set one of them above 0"},
		"two loops":         {"/shelf, rate: 10", "/shelf, rate: 10, workers: 2", "set one of them above 0"},
		"key without name":  {"account: reader, key", "key", "account and key"},
		"unknown account":   {"account: reader", "account: poet", "no such account"},
		"upload with GET":   {"rate: 10}", "rate: 10, upload: 5}", "choose POST or PUT"},
		"duplicate share":   {"/shelf", "/shelf, protected: true, duplicate: 2", "Duplicate"},
		"duplicate of what": {"/shelf", "/shelf, duplicate: 1", "protected: true"},
		"duplicate workers": {"/shelf, rate: 10", "/shelf, workers: 1, protected: true, duplicate: 1", "closed loop"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			content := strings.Replace(validSettings, test.old, test.new, 1)
			var settings Settings
			err := daemon.DecodeYAML("load.yaml", []byte(content), &settings)
			if err == nil {
				err = settings.Validate()
			}
			if (err == nil) != (test.want == "") || (err != nil && !strings.Contains(err.Error(), test.want)) {
				t.Fatalf("got error %v, want one that contains %q", err, test.want)
			}
		})
	}
}

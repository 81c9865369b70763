package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/errs"
)

type sample struct {
	Name   string   `yaml:"name" validate:"required"`
	Listen string   `yaml:"listen" validate:"hostname_port"`
	Wait   Duration `yaml:"wait" validate:"min=0"`
	Items  []struct {
		Count int `yaml:"count" validate:"min=1"`
	} `yaml:"items" validate:"min=1,dive"`
}

const validSample = "name: a\nlisten: 127.0.0.1:80\nwait: 1500ms\nitems: [{count: 1}]\n"

func TestSettingsAreDecodedStrictly(t *testing.T) {
	for name, test := range map[string]struct{ old, new, want string }{
		"valid":                    {"", "", ""},
		"unknown field":            {"name", "colour: red\nname", `unknown field "colour"`},
		"duplicate field":          {"name: a", "name: a\nname: b", "already defined"},
		"missing field":            {"name: a\n", "", "Name"},
		"address":                  {"127.0.0.1:80", "nowhere", "Listen"},
		"port":                     {"127.0.0.1:80", "127.0.0.1:99999", "Listen"},
		"duration":                 {"1500ms", "soon", "invalid duration"},
		"duration below zero":      {"1500ms", "-1s", "Wait"},
		"text instead of a number": {"count: 1", "count: many", "count"},
		"nested value":             {"count: 1", "count: 0", "Count"},
		"empty list":               {"[{count: 1}]", "[]", "Items"},
		"not YAML":                 {"name: a", "name: [a", ""},
		"empty":                    {validSample, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var decoded sample
			err := DecodeYAML("sample.yaml", []byte(strings.Replace(validSample, test.old, test.new, 1)), &decoded)
			if name == "valid" {
				if err != nil || decoded.Wait.Std() != 1500*time.Millisecond {
					t.Fatalf("decoded %+v, %v", decoded, err)
				}
				return
			}
			if errs.KindOf(err) != errs.Invalid || !strings.Contains(err.Error(), "sample.yaml") || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got %v, want an error with the file name and %q", err, test.want)
			}
		})
	}
}

func TestUnreadableSettingsFileIsNamedInTheError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.yaml")
	err := LoadYAML(path, &sample{})
	if errs.KindOf(err) != errs.Invalid || !strings.Contains(err.Error(), path) {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(validSample), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := LoadYAML(path, &sample{}); err != nil {
		t.Fatal(err)
	}
}

// FuzzSettings searches for input that is accepted although it violates a validate
// tag, or that panics.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSample))
	f.Add([]byte("name: a\n<<: *b\n"))
	f.Add([]byte("- &a [*a]\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		var decoded sample
		if DecodeYAML("fuzz.yaml", content, &decoded) != nil {
			return
		}
		if decoded.Name == "" || decoded.Wait < 0 || len(decoded.Items) == 0 {
			t.Fatalf("accepted %+v", decoded)
		}
	})
}

package daemon

import (
	"bytes"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"lacewingmount.dev/errs"
)

// Duration is a time span written in YAML as "250ms" or "3s".
type Duration time.Duration

// UnmarshalYAML parses the Go duration syntax.
func (d *Duration) UnmarshalYAML(text []byte) error {
	var value string
	if err := yaml.Unmarshal(text, &value); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML writes the Go duration syntax.
func (d Duration) MarshalYAML() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// LoadYAML decodes the file into target. It fails with kind Invalid on unknown
// fields and on values that do not satisfy target's validate tags; the error names
// the file, the line and the field.
func LoadYAML(path string, target any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "cannot read "+path, "check the path and its permissions")
	}
	return DecodeYAML(path, content, target)
}

// DecodeYAML is LoadYAML for content in memory. name is used in errors instead of
// the path.
func DecodeYAML(name string, content []byte, target any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict(), yaml.Validator(newValidator()))
	if err := decoder.Decode(target); err != nil {
		return errs.Wrap(err, errs.Invalid, name, "correct the field shown and start again")
	}
	return nil
}

func newValidator() *validator.Validate {
	return validator.New(validator.WithRequiredStructEnabled())
}

package daemon

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"lacewingmount.dev/errs"
)

// ValidateStruct validates target, a pointer to a struct, by its validate tags. It is for
// values that LoadYAML did not decode. It fails with kind Invalid; the error starts
// with name and names the field as in YAML.
func ValidateStruct(name string, target any) error {
	checker := newValidator()
	checker.RegisterTagNameFunc(func(field reflect.StructField) string {
		yamlName, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return yamlName
	})
	err := checker.Struct(target)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if errors.As(err, &fields) && len(fields) > 0 {
		first := fields[0]
		_, path, _ := strings.Cut(first.Namespace(), ".")
		return errs.New(errs.Invalid, fmt.Sprintf("%s: %s is %v", name, path, first.Value()),
			strings.TrimSpace(fmt.Sprintf("it must satisfy %s %s", first.Tag(), first.Param())))
	}
	return errs.Wrap(err, errs.Invalid, name, "correct the field shown")
}

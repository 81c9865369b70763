package scenario

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"lacewingmount.dev/agent"
	"lacewingmount.dev/entry"
	"lacewingmount.dev/load"
	"lacewingmount.dev/standin"
)

const operationsPage = "../docs/OPERATIONS.md"

var metricName = regexp.MustCompile("[\"`](lacewing_[a-z0-9_]*)")

// sourceMetrics returns the names of metrics in the source, each with a file that contains it.
func sourceMetrics(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "/capacity/") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, match := range metricName.FindAllStringSubmatch(string(content), -1) {
			found[match[1]] = path
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func TestOperationsPageListsEveryMetric(t *testing.T) {
	page := readFile(t, operationsPage)
	inSource := sourceMetrics(t)
	for name, file := range inSource {
		if strings.HasSuffix(name, "_") {
			t.Errorf("%s: write metric names in full, so that a search finds them: %s", file, name)
		}
		if !regexp.MustCompile(name + `\b`).MatchString(page) {
			t.Errorf("%s does not list metric %s, used in %s", operationsPage, name, file)
		}
	}
	for _, name := range regexp.MustCompile(`lacewing_[a-z0-9_]+`).FindAllString(page, -1) {
		if inSource[name] == "" {
			t.Errorf("%s lists metric %s, which no program has", operationsPage, name)
		}
	}
}

func TestOperationsPageListsEverySetting(t *testing.T) {
	page := readFile(t, operationsPage)
	for heading, settings := range map[string][]any{
		"lacewing-agent": {agent.Settings{}},
		"lacewing-entry": {entry.Settings{}},
		"lacewing-load":  {load.Settings{}},
		"the stand-ins":  {standin.PlatformSettings{}, standin.BackendSettings{}, standin.LinkSettings{}},
	} {
		section := headingSection(t, page, "### Settings of "+heading)
		for _, each := range settings {
			for _, field := range yamlFields(reflect.TypeOf(each)) {
				if !strings.Contains(section, "`"+field+"`") {
					t.Errorf("%s, settings of %s: field %s is not listed", operationsPage, heading, field)
				}
			}
		}
	}
}

// headingSection returns the text between a heading and the next one.
func headingSection(t *testing.T, page, heading string) string {
	t.Helper()
	_, after, found := strings.Cut(page, heading+"\n")
	if !found {
		t.Fatalf("%s does not contain the heading %q", operationsPage, heading)
	}
	section, _, _ := strings.Cut(after, "\n#")
	return section
}

// yamlFields returns the YAML names of all fields, including those of nested structs.
func yamlFields(settings reflect.Type) []string {
	var fields []string
	for i := range settings.NumField() {
		field := settings.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if name == "" {
			continue
		}
		fields = append(fields, name)
		nested := field.Type
		if nested.Kind() == reflect.Slice {
			nested = nested.Elem()
		}
		if nested.Kind() == reflect.Struct {
			fields = append(fields, yamlFields(nested)...)
		}
	}
	return fields
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

package config

import (
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/sebdah/goldie/v2"

	"lacewingmount.dev/daemon"
)

// generateSection returns the section generated from the questionnaire file, and its YAML.
func generateSection(t *testing.T, path string) (Section, []byte) {
	t.Helper()
	var answers Questionnaire
	if err := daemon.LoadYAML(path, &answers); err != nil {
		t.Fatal(err)
	}
	section, err := Generate(answers)
	if err != nil {
		t.Fatal(err)
	}
	content, err := yaml.Marshal(section)
	if err != nil {
		t.Fatal(err)
	}
	return section, content
}

func TestGenerateIsDeterministic(t *testing.T) {
	golden := goldie.New(t)
	for _, partner := range []string{"haneul-sijip", "chakalov"} {
		path := "../examples/" + partner + ".yaml"
		_, first := generateSection(t, path)
		_, second := generateSection(t, path)
		if string(first) != string(second) {
			t.Errorf("%s: the same answers gave two different sections", partner)
		}
		golden.Assert(t, partner, first)
	}
}

func TestDiffDescribesChanges(t *testing.T) {
	old, _ := generateSection(t, "../examples/haneul-sijip.yaml")
	next, _ := generateSection(t, "../examples/haneul-sijip.yaml")
	next.Accounts[0].Rate++
	next.Accounts = next.Accounts[:len(next.Accounts)-1]
	next.Services[0].Servers = next.Services[0].Servers[1:]
	next.Routes = append(next.Routes, Route{Path: "/new", Methods: []string{"GET", "HEAD"}, Service: next.Services[0].Name, Timeout: 1e9})
	goldie.New(t).Assert(t, "diff", []byte(strings.Join(Diff(&old, &next), "\n")+"\n"))
}

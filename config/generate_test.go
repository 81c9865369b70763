package config

import (
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/sebdah/goldie/v2"

	"lacewingmount.dev/daemon"
)

func generated(t *testing.T, path string) (Section, []byte) {
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

func TestGenerateIsStable(t *testing.T) {
	golden := goldie.New(t)
	for _, partner := range []string{"haneul-sijip", "chakalov"} {
		path := "../examples/" + partner + ".yaml"
		_, first := generated(t, path)
		_, second := generated(t, path)
		if string(first) != string(second) {
			t.Errorf("%s: the same answers gave two sections", partner)
		}
		golden.Assert(t, partner, first)
	}
}

func TestDiffInWords(t *testing.T) {
	old, _ := generated(t, "../examples/haneul-sijip.yaml")
	next, _ := generated(t, "../examples/haneul-sijip.yaml")
	next.Accounts[0].Rate++
	next.Accounts = next.Accounts[:len(next.Accounts)-1]
	next.Services[0].Servers = next.Services[0].Servers[1:]
	next.Routes = append(next.Routes, Route{Path: "/new", Methods: []string{"GET", "HEAD"}, Service: next.Services[0].Name, Timeout: 1e9})
	goldie.New(t).Assert(t, "diff", []byte(strings.Join(Diff(&old, &next), "\n")+"\n"))
}

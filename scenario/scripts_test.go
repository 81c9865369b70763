package scenario

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScripts runs the repository's shell scripts in a small directory tree. Each file
// in testdata/scripts contains fake go and gofmt commands that print the output it needs.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", filepath.Join(env.WorkDir, "bin")+string(os.PathListSeparator)+os.Getenv("PATH"))
			source, err := filepath.Abs("../scripts")
			if err != nil {
				return err
			}
			for _, script := range []string{"proof.sh", "test.sh", "red.sh"} {
				content, err := os.ReadFile(filepath.Join(source, script))
				if err != nil {
					return err
				}
				if err := os.MkdirAll(filepath.Join(env.WorkDir, "scripts"), 0o755); err != nil {
					return err
				}
				if err := os.WriteFile(filepath.Join(env.WorkDir, "scripts", script), content, 0o755); err != nil {
					return err
				}
			}
			for _, command := range []string{"go", "gofmt"} {
				if err := os.Chmod(filepath.Join(env.WorkDir, "bin", command), 0o755); err != nil {
					return err
				}
			}
			return nil
		},
	})
}

package http1_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readsAnswers are the names of net/http that read answers without the checks of this package, and what a file that uses one must use of
// this package. Without one it may not be used.
var readsAnswers = map[string]string{
	"Transport": "NewTransport", "DefaultTransport": "NewTransport", "ReadResponse": "NewConn",
	"DefaultClient": "", "Get": "", "Head": "", "Post": "", "PostForm": "",
}

// Guards against code that reads answers without the checks of this package.
func TestAnswersAreReadByThisPackageOnly(t *testing.T) {
	files := 0
	for _, dir := range []string{"cmd", "internal", "platform"} {
		require.NoError(t, filepath.WalkDir(filepath.Join("..", "..", dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			if filepath.Base(filepath.Dir(path)) == "http1" {
				return nil
			}
			files++
			for _, problem := range unchecked(t, path) {
				assert.Fail(t, "answers are read without checks", "%s: %s", path, problem)
			}
			return nil
		}))
	}
	assert.Greater(t, files, 100)
}

// unchecked returns what a file uses of net/http that reads answers without checks.
func unchecked(t *testing.T, path string) (problems []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	netHTTP := packageName(file, "net/http", "http")
	used, checked := map[string]bool{}, map[string]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			if isIdent(n.X, netHTTP) {
				used[n.Sel.Name] = true
			} else if isIdent(n.X, packageName(file, "github.com/filbertrill/filbertrill/internal/http1", "http1")) {
				checked[n.Sel.Name] = true
			}
		case *ast.CompositeLit:
			if s, ok := n.Type.(*ast.SelectorExpr); ok && isIdent(s.X, netHTTP) && s.Sel.Name == "Client" && !hasField(n, "Transport") {
				problems = append(problems, "http.Client without a transport")
			}
		}
		return true
	})
	for name, check := range readsAnswers {
		if used[name] && !checked[check] {
			problems = append(problems, "http."+name)
		}
	}
	if packageName(file, "net/http/httputil", "httputil") != "" {
		problems = append(problems, "httputil")
	}
	return problems
}

// packageName returns the name under which the file imports the package, or "".
func packageName(file *ast.File, path, name string) string {
	for _, spec := range file.Imports {
		if spec.Path.Value == `"`+path+`"` {
			if spec.Name != nil {
				return spec.Name.Name
			}
			return name
		}
	}
	return ""
}

func isIdent(e ast.Expr, name string) bool {
	id, ok := e.(*ast.Ident)
	return ok && name != "" && id.Name == name
}

func hasField(literal *ast.CompositeLit, name string) bool {
	for _, element := range literal.Elts {
		if kv, ok := element.(*ast.KeyValueExpr); ok && isIdent(kv.Key, name) {
			return true
		}
	}
	return false
}

package test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func readAll(t *testing.T, pattern string) string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: %v, %d files", pattern, err, len(paths))
	}
	var text strings.Builder
	for _, path := range paths {
		read, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		text.Write(read)
	}
	return text.String()
}

// A word of the glossary that the code does not use misleads whoever looks it up.
func TestGlossaryWordsAreInTheCode(t *testing.T) {
	code := strings.ToLower(readAll(t, "../pkg/*/*.go") + readAll(t, "../pkg/*/*/*.go"))
	for _, line := range strings.Split(readAll(t, "../docs/GLOSSARY.md"), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 || strings.Contains(cells[1], "---") || strings.TrimSpace(cells[1]) == "word" {
			continue
		}
		for _, word := range strings.Split(cells[1], ",") {
			word, _, _ = strings.Cut(strings.TrimSpace(word), " (")
			if !strings.Contains(code, word) {
				t.Errorf("the code has no %q", word)
			}
		}
	}
}

// A proof that names a test that is not there proves nothing.
func TestProofsNameTestsThatExist(t *testing.T) {
	code := readAll(t, "../pkg/*/*_test.go") + readAll(t, "../pkg/*/*/*_test.go") + readAll(t, "../platform/*_test.go") + readAll(t, "*_test.go")
	script := readAll(t, "../scripts/safeguards.sh")
	for _, line := range strings.Split(readAll(t, "../docs/PROOFS.md"), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 6 {
			continue
		}
		for _, word := range strings.FieldsFunc(cells[3], func(r rune) bool { return strings.ContainsRune(" ,;`()", r) }) {
			if strings.HasPrefix(word, "Test") && !strings.Contains(code, "func "+word+"(") {
				t.Errorf("there is no %s", word)
			}
		}
		for _, name := range strings.FieldsFunc(cells[4], func(r rune) bool { return strings.ContainsRune(" ,", r) }) {
			if strings.Contains(name, "-") && !strings.HasPrefix(name, "--") && !strings.Contains(script, "try "+name+" ") {
				t.Errorf("scripts/safeguards.sh has no %s", name)
			}
		}
	}
}

// Newcomers find the duties by the README.
func TestReadmeNamesEveryPackage(t *testing.T) {
	readme := readAll(t, "../README.md")
	entries, err := os.ReadDir("../pkg")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if !strings.Contains(readme, "`"+entry.Name()+"`") {
			t.Errorf("README.md does not name %s", entry.Name())
		}
	}
}

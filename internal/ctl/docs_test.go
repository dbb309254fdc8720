package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"peridotmoor.org/peridotmoor/internal/settings"
)

const operatorsPages = "../../docs/operators"

func readPages(t *testing.T) map[string]string {
	files, err := filepath.Glob(filepath.Join(operatorsPages, "*.md"))
	if err != nil || len(files) < 6 {
		t.Fatalf("%d pages, %v", len(files), err)
	}
	pages := map[string]string{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		pages[filepath.Base(file)] = string(text)
	}
	return pages
}

// Guards against exit codes that are missing from the operators' page or the help.
func TestExitCodesAreDocumented(t *testing.T) {
	page := readPages(t)["README.md"]
	for code := ExitDone; code <= ExitNotInEffect; code++ {
		if !strings.Contains(page, fmt.Sprintf("\n| %d | ", code)) {
			t.Errorf("the page lacks exit code %d", code)
		}
		if !strings.Contains(description, fmt.Sprint(code)+" ") {
			t.Errorf("the help lacks exit code %d", code)
		}
	}
	if strings.Contains(page, fmt.Sprintf("\n| %d | ", ExitNotInEffect+1)) {
		t.Error("the page has more exit codes than the code")
	}
}

// Guards against operators' pages that name a command which does not exist.
func TestPagesNameExistingCommands(t *testing.T) {
	pattern := regexp.MustCompile("peridotmoorctl ([a-z]+)")
	for name, page := range readPages(t) {
		for _, match := range pattern.FindAllStringSubmatch(page, -1) {
			if match[1] != "completion" && findCommand(match[1]) == nil {
				t.Errorf("%s: no command %q", name, match[1])
			}
		}
	}
}

// Guards against settings examples on the pages that the settings check refuses.
func TestExamplesOnPagesAreValid(t *testing.T) {
	const rest = "\n[service.bosho]\nshards = 4\nstate = out\n[domain.kyu-kita]\nregion = kyushu\n"
	pattern := regexp.MustCompile("(?s)```ini\n(.*?)```")
	count := 0
	for name, page := range readPages(t) {
		for _, match := range pattern.FindAllStringSubmatch(page, -1) {
			count++
			text := match[1]
			if strings.Contains(text, "[domain.kyu-kita]") {
				text += "\n[service.bosho]\nshards = 4\nstate = out\n"
			} else {
				text += rest
			}
			if _, err := settings.Parse(text, name); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
	if count < 3 {
		t.Errorf("%d examples found", count)
	}
}

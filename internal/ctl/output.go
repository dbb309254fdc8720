package ctl

import (
	"encoding/json"
	"fmt"
	"io"
)

// output is the result of a command. It is printed as JSON or as text for operators.
type output interface {
	writeText(w io.Writer)
}

// print writes the result and the error, and returns the exit code. JSON output
// contains the error only if there is no result.
func (t *tool) print(result output, err error) int {
	if t.options.JSON {
		t.printJSON(result, err)
		return exitCode(err)
	}
	if result != nil {
		result.writeText(t.env.Stdout)
	}
	if err != nil && err != errTreesDiffer {
		fmt.Fprintln(t.env.Stderr, err)
	}
	return exitCode(err)
}

func (t *tool) printJSON(result output, err error) {
	encoder := json.NewEncoder(t.env.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if result != nil {
		encoder.Encode(result)
	} else if err != nil {
		encoder.Encode(newErrorResult(err))
	}
}

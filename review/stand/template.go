package main

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// fields are the settings of a process as the platform knows them: tables, lists and plain values.
type fields map[string]any

// section matches a block of a template that stands only if its value exists. Blocks are not nested in the project's templates.
var section = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)

// gap matches a value in a template.
var gap = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// fill fills a template of the project, as far as DEPLOY.md describes the forms that the project uses.
func fill(template string, f fields) string {
	filled := section.ReplaceAllStringFunc(template, func(block string) string {
		m := section.FindStringSubmatch(block)
		value := f.text(m[1])
		if value == "" {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", value)
	})
	return gap.ReplaceAllStringFunc(filled, func(g string) string { return f.text(gap.FindStringSubmatch(g)[1]) })
}

// text returns the value at a path such as bounds.grace_s, or an empty text if there is none.
func (f fields) text(path string) string {
	var at any = f
	for _, name := range strings.Split(path, ".") {
		switch v := at.(type) {
		case fields:
			at = v[name]
		case []string:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(v) {
				return ""
			}
			at = v[i]
		default:
			return ""
		}
	}
	switch v := at.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(v, ",")
	}
	return fmt.Sprint(at)
}

package main

import "regexp"

var (
	// section is a part of a template that stands only if the field is given.
	section = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	gap     = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills the gaps of a settings template as the platform does (DEPLOY.md), as far as this project's templates need it.
func fill(template string, fields map[string]string) string {
	text := section.ReplaceAllStringFunc(template, func(part string) string {
		m := section.FindStringSubmatch(part)
		value, ok := fields[m[1]]
		if !ok {
			return ""
		}
		return gap.ReplaceAllStringFunc(m[2], func(g string) string {
			if g == "{{.}}" {
				return value
			}
			return g
		})
	})
	return gap.ReplaceAllStringFunc(text, func(g string) string { return fields[gap.FindStringSubmatch(g)[1]] })
}

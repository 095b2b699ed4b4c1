package main

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// templatePath is the template of an instance's settings, relative to the root of the repository.
const templatePath = "deploy/settings.toml.tmpl"

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z.-]+)\}\}(.*?)\{\{/([a-z.-]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
)

// renderSettings fills in the template of the deploy file. lists has the values of its sections, and
// values those of its placeholders.
func renderSettings(values map[string]string, lists map[string][]string) (string, error) {
	text, err := os.ReadFile(templatePath)
	if err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	filled := sectionPattern.ReplaceAllStringFunc(string(text), func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		var out strings.Builder
		list := lists[parts[1]]
		for i, value := range list {
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", value, "{{,}}", comma).Replace(parts[2]))
		}
		return out.String()
	})
	var missing []string
	filled = valuePattern.ReplaceAllStringFunc(filled, func(placeholder string) string {
		name := strings.Trim(placeholder, "{}")
		value, known := values[name]
		if !known {
			missing = append(missing, name)
		}
		return value
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("settings: no value for %s", strconv.Quote(strings.Join(missing, ", ")))
	}
	return filled, nil
}

// Package examples holds the configuration that the standalone mode starts with.
package examples

import _ "embed"

// Rules is a configuration for both workloads.
//
//go:embed rules.toml
var Rules string

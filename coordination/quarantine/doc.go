// Package quarantine recognises requests that come again, and knows under which of them targets
// have ended.
package quarantine

// Package examples holds the manifests of two sites.
package examples

import _ "embed" // for go:embed

// TePuna is the manifest of the Te Puna site.
//
//go:embed te-puna.toml
var TePuna []byte

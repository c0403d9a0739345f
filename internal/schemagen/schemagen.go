// Package schemagen generates the JSON schema of the configuration file from the Go types that decode it.
// Editors use the schema for completion and validation.
package schemagen

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"
	"github.com/invopop/jsonschema"

	"github.com/cometlock/cometlock/internal/config"
)

// Path is the path of the schema file, relative to the repository's root.
const Path = "schema/cometlock.schema.json"

// Generate returns the schema.
func Generate() ([]byte, error) {
	reflector := jsonschema.Reflector{FieldNameTag: "yaml", RequiredFromJSONSchemaTags: true, ExpandedStruct: true}
	schema := reflector.Reflect(&config.File{})
	schema.ID = "https://cometlock.example/cometlock.schema.json"
	schema.Title = "cometlock configuration"
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return append(data, '\n'), nil
}

// Package schemagen makes the JSON schema of the configuration file, for
// editors, out of the types that read it.
package schemagen

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"
	"github.com/invopop/jsonschema"

	"github.com/cometlock/cometlock/internal/config"
)

// Path is where the schema is kept, from the repository's root.
const Path = "schema/cometlock.schema.json"

// Generate gives the schema.
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

package schemagen

//go:generate go run ./write ../../schema/cometlock.schema.json

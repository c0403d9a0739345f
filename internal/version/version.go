// Package version holds what the build stamps into both programs.
package version

// Version is set by the linker: go build -ldflags "-X …/version.Version=v1.2.3".
var Version = "development"

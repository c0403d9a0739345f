// Package version holds the version that the build sets in all programs.
package version

// Version is set at link time: go build -ldflags "-X …/version.Version=v1.2.3".
var Version = "development"

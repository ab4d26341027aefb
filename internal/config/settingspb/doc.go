// Package settingspb is the generated code of settings.proto, the schema of the operators' settings
// file. After a change of settings.proto, TestGeneratedCodeIsUpToDate fails and prints the new
// contents of settings.pb.go, as written by the protoc-gen-go that go.mod pins.
package settingspb

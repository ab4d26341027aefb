// Package settingspb is the generated code of settings.proto, the schema of the
// operators' settings file.
package settingspb

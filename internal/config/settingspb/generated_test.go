package settingspb

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"testing"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// settings.pb.go equals what the generator pinned in go.mod writes from settings.proto.
func TestGeneratedCodeIsUpToDate(t *testing.T) {
	const source = "internal/config/settingspb/settings.proto"
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{"../../.."}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), source)
	if err != nil {
		t.Fatal(err)
	}
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate:  []string{source},
		Parameter:       proto.String("paths=source_relative"),
		ProtoFile:       []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])},
		CompilerVersion: &pluginpb.Version{Major: proto.Int32(3), Minor: proto.Int32(21), Patch: proto.Int32(12)},
	})
	if err != nil {
		t.Fatal(err)
	}
	generator := exec.Command("go", "tool", "protoc-gen-go")
	generator.Stdin, generator.Stderr = bytes.NewReader(request), os.Stderr
	output, err := generator.Output()
	if err != nil {
		t.Fatal(err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil || response.Error != nil {
		t.Fatal(err, response.GetError())
	}
	have, err := os.ReadFile("settings.pb.go")
	if err != nil {
		t.Fatal(err)
	}
	if want := response.File[0].GetContent(); string(have) != want {
		t.Fatalf("settings.pb.go is out of date; the generator writes:\n%s", want)
	}
}

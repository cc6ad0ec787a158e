package ctcrowd_test

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// programFolder is the folder with the programs under test. TestMain builds them there.
var programFolder string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "ctcrowd")
	if err != nil {
		panic(err)
	}
	programFolder = folder
	command := exec.Command("go", "build", "-o", folder+"/", "../../../cmd/...")
	if output, err := command.CombinedOutput(); err != nil {
		fmt.Printf("build the programs: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

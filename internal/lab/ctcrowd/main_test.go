package ctcrowd_test

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// programFolder is the folder with the program under test. TestMain builds it there.
var programFolder string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "ctcrowd")
	if err != nil {
		panic(err)
	}
	programFolder = folder
	command := exec.Command("go", "build", "-o", folder+"/", "../../../cmd/cherviltrestle")
	if output, err := command.CombinedOutput(); err != nil {
		fmt.Printf("build the program: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

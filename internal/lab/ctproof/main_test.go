package ctproof

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// programFolder is the folder with the programs under test. TestMain builds
// them into it.
var programFolder string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "ctproof")
	if err != nil {
		panic(err)
	}
	programFolder = folder
	arguments := []string{"build", "-o", folder + "/"}
	if raceDetector {
		arguments = append(arguments, "-race")
	}
	arguments = append(arguments, "../../../cmd/...")
	if output, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		fmt.Printf("build the programs: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

package ctdiskloss

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// programFolder is the folder with the program under test. TestMain builds it there.
var programFolder string

func TestMain(m *testing.M) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	folder, err := os.MkdirTemp("", "ctdiskloss")
	if err != nil {
		panic(err)
	}
	programFolder = folder
	command := exec.Command("go", "build", "-race", "-o", folder+"/", "../../../cmd/cherviltrestle")
	if output, err := command.CombinedOutput(); err != nil {
		fmt.Printf("build the program: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// Package cmd tests that the pages and the programs agree.
package cmd

import (
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommandLines(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Command lines")
}

var (
	commandLine = regexp.MustCompile(`(?m)^ {4}(?:\$ )?(?:bin/|go run \./cmd/)(lycheehall[a-z-]*)(.*)$`)
	inlineFlag  = regexp.MustCompile("`(--[a-z-]+)[^`]*`")
	flagName    = regexp.MustCompile(`^--[a-z-]+`)
)

// programs builds all programs, and returns their paths by name.
func programs() map[string]string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "./...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	entries, err := os.ReadDir(dir)
	Expect(err).NotTo(HaveOccurred())
	byName := map[string]string{}
	for _, e := range entries {
		byName[e.Name()] = filepath.Join(dir, e.Name())
	}
	return byName
}

// help returns the help of a program and of those words that are its subcommands.
func help(program string, words ...string) string {
	GinkgoHelper()
	text := ""
	for _, args := range append([][]string{{"--help"}}, each(words)...) {
		// The exit code of a word that is no subcommand does not matter here.
		out, _ := exec.Command(program, args...).CombinedOutput()
		text += string(out)
	}
	return text
}

func each(words []string) (commands [][]string) {
	for _, w := range words {
		if !strings.ContainsAny(w, "-./:&<>|") {
			commands = append(commands, []string{w, "--help"})
		}
	}
	return commands
}

// pages returns the texts of README.md and of the pages in docs, by path.
func pages() map[string]string {
	GinkgoHelper()
	paths, err := filepath.Glob("../docs/*.md")
	Expect(err).NotTo(HaveOccurred())
	texts := map[string]string{}
	for _, path := range append(paths, "../README.md") {
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		texts[path] = string(text)
	}
	return texts
}

// Guards against pages that name a flag that no program has.
var _ = Describe("the pages", func() {
	It("have command lines whose flags the programs accept", func() {
		byName, lines := programs(), 0
		for path, text := range pages() {
			for _, m := range commandLine.FindAllStringSubmatch(text, -1) {
				lines++
				Expect(byName).To(HaveKey(m[1]), "%s: %s", path, m[0])
				words := strings.Fields(m[2])
				accepted := help(byName[m[1]], words...)
				for _, w := range words {
					if flag := flagName.FindString(w); flag != "" {
						Expect(accepted).To(ContainSubstring(flag), "%s: %s", path, m[0])
					}
				}
			}
		}
		Expect(lines).To(BeNumerically(">", 5))
	})

	It("name no flag that no program has", func() {
		accepted := ""
		for _, program := range slices.Sorted(maps.Values(programs())) {
			accepted += help(program, "platform", "target")
		}
		for _, m := range inlineFlag.FindAllStringSubmatch(pages()["../README.md"], -1) {
			Expect(accepted).To(ContainSubstring(m[1]), "README.md: %s", m[0])
		}
	})
})

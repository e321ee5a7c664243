package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// maxFileSize is the maximum size of a settings file, in bytes.
const maxFileSize = 1 << 20

// Load reads and validates a settings file. Relative paths in it refer to its
// directory. If the file can be read but is invalid, the error is an
// *InvalidError.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if info.Size() > maxFileSize {
		return nil, errors.Errorf("read settings %q: %d bytes, want at most %d", path, info.Size(), maxFileSize)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return data, nil
}

// Parse parses and validates the content of a settings file. The path is used in
// errors, and its directory is the one to which relative paths refer. The error is
// an *InvalidError with all problems of the file.
func Parse(path string, data []byte) (*Settings, error) {
	p := parser{file: path, keys: keys, draft: draft{dir: filepath.Dir(path)}}
	if !p.parse(data) {
		return nil, p.err()
	}
	p.checkCombinations()
	if err := p.err(); err != nil {
		return nil, err
	}
	return &p.draft.Settings, nil
}

// parse parses and validates each key of the file. It returns false if data is not
// in INI syntax.
func (p *parser) parse(data []byte) bool {
	file, err := ini.LoadSources(ini.LoadOptions{
		// Shadow values are needed to find keys that are given twice.
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		PreserveEmptyShadowValues:  true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		p.report("", "", "", fmt.Sprintf("an INI file (%v)", err))
		return false
	}
	p.reportUnknown(file)
	for _, k := range p.keys {
		p.parseKey(file, k)
	}
	return true
}

// parser collects the settings and the problems of one file.
type parser struct {
	file     string
	keys     []Key
	draft    draft
	problems []Problem
}

func (p *parser) report(section, key, value, expected string) {
	p.problems = append(p.problems, Problem{File: p.file, Section: section, Key: key, Value: value, Expected: expected})
}

func (p *parser) err() error {
	if len(p.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: p.problems}
}

// reportUnknown reports unknown sections and keys, keys outside of any section, and
// sections that are given twice.
func (p *parser) reportUnknown(file *ini.File) {
	seen := map[string]bool{}
	for _, s := range file.Sections() {
		known := p.keyNames(s.Name())
		switch {
		case s.Name() == ini.DefaultSection:
			for _, k := range s.Keys() {
				p.report("", k.Name(), k.Value(), "a section line such as [vm] before the first key")
			}
		case known == nil:
			p.report(s.Name(), "", "", "one of the sections "+strings.Join(p.sectionNames(), ", "))
		case seen[s.Name()]:
			p.report(s.Name(), "", "", "each section once")
		default:
			p.reportUnknownKeys(s, known)
		}
		seen[s.Name()] = true
	}
}

func (p *parser) reportUnknownKeys(s *ini.Section, known []string) {
	for _, k := range s.Keys() {
		if !slices.Contains(known, k.Name()) {
			p.report(s.Name(), k.Name(), k.Value(), "one of the keys "+strings.Join(known, ", "))
		}
	}
}

// parseKey validates one known key and stores its value, or its default value if
// the file does not contain it.
func (p *parser) parseKey(file *ini.File, k Key) {
	value, given := k.Default, false
	if s, err := file.GetSection(k.Section); err == nil && s.HasKey(k.Name) {
		values := s.Key(k.Name).ValueWithShadows()
		value, given = s.Key(k.Name).Value(), true
		if len(values) > 1 {
			p.report(k.Section, k.Name, strings.Join(values, " and "), "one value")
			return
		}
	}
	if !given && k.Required {
		p.report(k.Section, k.Name, "", "a value: "+k.Meaning)
		return
	}
	if expected := k.set(&p.draft, value); expected != "" {
		p.report(k.Section, k.Name, value, expected)
	}
}

// checkCombinations validates values that depend on each other and removes this VM
// from the seeds.
func (p *parser) checkCombinations() {
	s := &p.draft.Settings
	if s.Control.IsValid() && s.Control == s.Metrics {
		p.report("addresses", "metrics", s.Metrics.String(), "an address other than that of key \"control\"")
	}
	s.Seeds = withoutSelf(s.Seeds, s.Control)
}

func (p *parser) keyNames(section string) []string {
	var names []string
	for _, k := range p.keys {
		if k.Section == section {
			names = append(names, k.Name)
		}
	}
	return names
}

func (p *parser) sectionNames() []string {
	var names []string
	for _, k := range p.keys {
		if !slices.Contains(names, k.Section) {
			names = append(names, k.Section)
		}
	}
	return names
}

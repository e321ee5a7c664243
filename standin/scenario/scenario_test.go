package scenario

import "testing"

// Guards against the failures that the comments at the head of the scripts name.
func TestScenarios(t *testing.T) { Run(t, "testdata") }

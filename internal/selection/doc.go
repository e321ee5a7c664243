// Package selection chooses a backend server for a new flow. Default computes
// the default server, which is the same on every balancer; the Chooser deviates
// from it for load and health; the Baselines are well-known policies that the
// Chooser is measured against.
package selection

// Package selection chooses a backend server for a new flow: the pure default
// that every balancer can compute, the Chooser that deviates from it for load
// and health, and the baseline policies that the Chooser is measured against.
package selection

// Package bench compares the policies that choose servers. It runs a site once for
// each policy, with the same seed and the same arrivals of flows, and reports the
// measurements of all runs.
package bench

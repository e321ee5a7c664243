// Package bench runs a site with each policy for the choice of servers, with
// the same seed and the same arrivals, and compares what the runs measured.
package bench

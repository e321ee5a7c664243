// Package standin is the parent of the packages that stand in for outside
// systems. Only development commands and tests import them.
package standin

// Package standin groups the stand-ins for outside systems. Only the dev
// command and tests import its packages.
package standin
